package cassiaspindle.codec

import com.networknt.schema.InputFormat
import com.networknt.schema.SchemaLocation
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.dialect.Dialects
import tools.jackson.core.JacksonException

private const val SCHEMA_RESOURCE = "/cassiaspindle/schema/cassiaspindle.yaml"
private const val SCHEMA_ADDRESS = "https://cassiaspindle.example/schema.yaml"

/** A place in a document that breaks the schema: the JSON pointer [path] and what is wrong there. */
data class SchemaViolation(val path: String, val message: String) {
    override fun toString(): String = "${path.ifEmpty { "/" }}: $message"
}

/** Checks JSON text against the schema that the data classes are generated from. */
object SchemaValidator {
    private val registry by lazy {
        val source = checkNotNull(javaClass.getResource(SCHEMA_RESOURCE)) { "the schema is missing" }.readText()
        SchemaRegistry.withDefaultDialect(Dialects.getOpenApi30()) { builder ->
            builder.schemas(mapOf(SCHEMA_ADDRESS to source))
        }
    }

    /** The problems of [text] as the schema named [name], in the order of their paths. */
    fun problems(name: String, text: String): List<SchemaViolation> = try {
        registry.getSchema(SchemaLocation.of("$SCHEMA_ADDRESS#/components/schemas/$name"))
            .validate(text, InputFormat.JSON)
            .map { SchemaViolation(it.instanceLocation.toString(), it.message) }
            .sortedBy(SchemaViolation::path)
    } catch (problem: JacksonException) {
        listOf(SchemaViolation("", "not JSON: ${problem.originalMessage}"))
    }
}
