package cassiaspindle.core.result

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldContainExactly
import java.nio.file.Files
import java.nio.file.Path

class ResultCodeTest : AnnotationSpec() {
    @Test
    fun `the documented result codes match the code`() {
        val documented = Files.readAllLines(Path.of("../docs/RESULT_CODES.md"))
            .filter { line -> line.matches(Regex("""\| \d+ .*""")) }
        val coded = ResultCode.entries.map { "| ${it.number} | `${it.name}` | ${it.execution} | ${it.meaning} |" }
        documented shouldContainExactly coded
    }

    @Test
    fun `numbers are unique`() {
        ResultCode.entries.map { it.number }.shouldBeUnique()
    }
}
