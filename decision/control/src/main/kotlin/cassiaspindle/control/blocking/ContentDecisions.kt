package cassiaspindle.control.blocking

import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentTrial

/** What the control replicas have decided about contents that crash runners; durable. */
data class ContentDecisions(
    val blocked: List<BlockedContent> = emptyList(),
    /** Trials of contents that are suspected, or were when the trial started. */
    val trials: List<ContentTrial> = emptyList(),
)
