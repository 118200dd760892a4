package cassiaspindle.command

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

class CommandLineTest : AnnotationSpec() {
    @Test
    fun `settings check exits with the usage status for an invalid or missing file`() {
        val document = Path.of("src/main/resources/examples/hooghly/seam-analysis.json")
        val invalidFile = Files.createTempFile("settings", ".json")
        Files.writeString(invalidFile, """{"listenAddress": 1}""")
        val files = mapOf(
            document.toString() to ExitStatus.DONE,
            invalidFile.toString() to ExitStatus.USAGE,
            "no-such-file.json" to ExitStatus.USAGE,
        )
        for ((file, status) in files) {
            runCommandLine(arrayOf("settings", "check", file)) shouldBe status
        }
    }

    @Test
    fun `an operator command exits with the usage status if its settings file is missing`() {
        runCommandLine(arrayOf("status", "--settings", "no-such-file.json")) shouldBe ExitStatus.USAGE
    }
}
