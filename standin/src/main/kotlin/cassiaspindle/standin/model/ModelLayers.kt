package cassiaspindle.standin.model

/** Number of layers of the models that stand-ins know. */
val MODEL_LAYERS: Map<String, Int> = mapOf("seam-llm" to SEAM_LAYERS, "redaction-llm" to REDACTION_LAYERS)

private const val SEAM_LAYERS = 32
private const val REDACTION_LAYERS = 48
