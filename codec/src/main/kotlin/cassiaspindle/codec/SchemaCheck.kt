package cassiaspindle.codec

import com.networknt.schema.InputFormat
import com.networknt.schema.SchemaLocation
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.dialect.Dialects
import tools.jackson.core.JacksonException

private const val SCHEMA_RESOURCE = "/cassiaspindle/schema/cassiaspindle.yaml"
private const val SCHEMA_ADDRESS = "https://cassiaspindle.example/schema.yaml"

/** A place in a document that breaks the schema: the JSON pointer [path] and what is wrong there. */
data class SchemaProblem(val path: String, val message: String) {
    override fun toString(): String = "${path.ifEmpty { "/" }}: $message"
}

/** Checks JSON text against the schema that the data classes are generated from. */
object SchemaCheck {
    private val registry by lazy {
        val source = checkNotNull(javaClass.getResource(SCHEMA_RESOURCE)) { "the schema is missing" }.readText()
        SchemaRegistry.withDefaultDialect(Dialects.getOpenApi30()) { builder ->
            builder.schemas(mapOf(SCHEMA_ADDRESS to source))
        }
    }

    /** The problems of [text] as the schema named [name], in the order of their paths. */
    fun problems(name: String, text: String): List<SchemaProblem> = try {
        registry.getSchema(SchemaLocation.of("$SCHEMA_ADDRESS#/components/schemas/$name"))
            .validate(text, InputFormat.JSON)
            .map { SchemaProblem(it.instanceLocation.toString(), it.message) }
            .sortedBy(SchemaProblem::path)
    } catch (problem: JacksonException) {
        listOf(SchemaProblem("", "not JSON: ${problem.originalMessage}"))
    }
}
