package cassiaspindle.codec

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.serialization.InternalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.serializer
import tools.jackson.databind.JsonNode
import tools.jackson.dataformat.yaml.YAMLMapper

@OptIn(InternalSerializationApi::class)
class GeneratedClassesTest : AnnotationSpec() {
    private val schemas: JsonNode = YAMLMapper()
        .readTree(javaClass.getResourceAsStream("/cassiaspindle/schema/cassiaspindle.yaml"))
        .path("components").path("schemas")

    @Test
    fun `every schema has a generated class with the same members`() {
        schemas.propertyNames().size shouldBeGreaterThan 60
        for (name in schemas.propertyNames()) {
            membersOfClass(name) shouldBe membersOfSchema(schemas.path(name))
        }
    }

    private fun membersOfSchema(schema: JsonNode): Set<Member> {
        val required = schema.path("required").values().map { it.asString() }
        val constants = schema.path("enum").values().map { Member(it.asString(), isRequired = true) }
        return schema.path("properties").propertyNames().map { Member(it, it in required) }.toSet() + constants
    }

    private fun membersOfClass(name: String): Set<Member> {
        val descriptor: SerialDescriptor = Class.forName("cassiaspindle.schema.$name").kotlin.serializer().descriptor
        return (0 until descriptor.elementsCount)
            .map { Member(descriptor.getElementName(it), !descriptor.isElementOptional(it)) }
            .toSet()
    }

    private data class Member(val name: String, val isRequired: Boolean)
}
