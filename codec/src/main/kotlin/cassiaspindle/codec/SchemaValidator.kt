package cassiaspindle.codec

import com.networknt.schema.InputFormat
import com.networknt.schema.SchemaLocation
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.dialect.Dialects
import tools.jackson.core.JacksonException

private const val SCHEMA_RESOURCE = "/cassiaspindle/schema/cassiaspindle.yaml"
private const val SCHEMA_URL = "https://cassiaspindle.example/schema.yaml"

/** A schema violation: the JSON pointer [path] of its location and a [message]. */
data class SchemaViolation(val path: String, val message: String) {
    override fun toString(): String = "${path.ifEmpty { "/" }}: $message"
}

/** Validates JSON against the schema from which the data classes are generated. */
object SchemaValidator {
    private val registry by lazy {
        val source = checkNotNull(javaClass.getResource(SCHEMA_RESOURCE)) { "schema is missing" }.readText()
        SchemaRegistry.withDefaultDialect(Dialects.getOpenApi30()) { builder ->
            builder.schemas(mapOf(SCHEMA_URL to source))
        }
    }

    /** The violations of the schema [name] in [text], sorted by path. */
    fun validate(name: String, text: String): List<SchemaViolation> = try {
        registry.getSchema(SchemaLocation.of("$SCHEMA_URL#/components/schemas/$name"))
            .validate(text, InputFormat.JSON)
            .map { SchemaViolation(it.instanceLocation.toString(), it.message) }
            .sortedBy(SchemaViolation::path)
    } catch (exception: JacksonException) {
        listOf(SchemaViolation("", "invalid JSON: ${exception.originalMessage}"))
    }
}
