package cassiaspindle.standin.model

/** Number of layers of each model that the stand-ins run. */
val MODEL_LAYERS: Map<String, Int> = mapOf("seam-llm" to SEAM_LAYERS, "redaction-llm" to REDACTION_LAYERS)

private const val SEAM_LAYERS = 32
private const val REDACTION_LAYERS = 48
