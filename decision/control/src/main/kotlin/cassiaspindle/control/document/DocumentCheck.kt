package cassiaspindle.control.document

import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.Stage

/** Checks of a service document that the schema can't express. */
object DocumentCheck {
    /** The first problem in [document] with its JSON path, or null. */
    fun firstProblem(document: ServiceDocument): String? =
        document.stages.withIndex().firstNotNullOfOrNull { (index, stage) ->
            stageProblem(stage, isLast = index == document.stages.lastIndex)?.let { "/stages/$index: $it" }
        } ?: duplicateCaller(document)

    private fun stageProblem(stage: Stage, isLast: Boolean): String? = when {
        (stage.model == null) == (stage.call == null) -> "exactly one of model and call is required"
        stage.call?.repeatable == false && !isLast -> "a call that may not be repeated must be the last stage"
        else -> null
    }

    private fun duplicateCaller(document: ServiceDocument): String? = document.callers
        .groupBy { it.account }
        .entries
        .firstOrNull { it.value.size > 1 }
        ?.let { "/callers: account ${it.key} is listed twice" }
}
