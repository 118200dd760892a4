package cassiaspindle.codec

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.EntrySettings
import cassiaspindle.schema.LogLevel
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Files
import java.nio.file.Path

class SettingsReaderTest : AnnotationSpec() {
    private val valid = """
        {"name": "entry-1", "availabilityZone": "howrah", "listenAddress": "10.0.0.1:8080",
         "controls": [{"name": "control-1", "peerAddress": "10.0.0.2:7000", "operatorAddress": "10.0.0.2:7001"}],
         "keyFiles": {"system": "a", "operator": "b", "backEnd": "c"}}
    """.trimIndent()

    @Test
    fun `valid settings are read with their defaults`() {
        val settings =
            SettingsReader.decodeValidated<EntrySettings>(valid, ResultCode.SETTINGS_INVALID).get().shouldNotBeNull()
        settings.progressMilliseconds shouldBe 1_000
    }

    @Test
    fun `each violation is reported with the code and the path`() {
        val violations = mapOf(
            valid.replace("\"name\": \"entry-1\"", "\"name\": \"entry-1\", \"nmae\": 1") to "/",
            valid.replace("\"entry-1\"", "7") to "/name",
            valid.replace("\"10.0.0.1:8080\"", "\"nowhere\"") to "/listenAddress",
            valid.replace("\"controls\": [", "\"progressMilliseconds\": 1, \"controls\": [") to "/progressMilliseconds",
            valid.replace("\"10.0.0.2:7000\"", "7000") to "/controls/0/peerAddress",
            valid.dropLast(1) to "/",
            "" to "/",
        )
        for ((text, path) in violations) {
            val failure = SettingsReader.decodeValidated<EntrySettings>(text, ResultCode.SETTINGS_INVALID).getError()
            failure.shouldNotBeNull().code shouldBe ResultCode.SETTINGS_INVALID
            failure.detail.substringBefore(':') shouldBe path
            failure.detail.lines().size shouldBe 1
        }
    }

    @Test
    fun `the log level is read without schema validation`() {
        val file = Files.createTempFile("settings", ".json")
        val levels = mapOf(
            valid to LogLevel.INFO,
            valid.replace("{\"name\"", "{\"logLevel\" : \"DEBUG\", \"name\"") to LogLevel.DEBUG
        )
        for ((text, level) in levels) {
            Files.writeString(file, text)
            SettingsReader.readLogLevel(file) shouldBe level
        }
        SettingsReader.readLogLevel(Path.of("no-such-file.json")) shouldBe LogLevel.INFO
    }

    @Test
    fun `a missing file is reported with its name and the code`() {
        val failure = SettingsReader.read<EntrySettings>(Path.of("no-such-file.json")).getError().shouldNotBeNull()
        failure.code shouldBe ResultCode.SETTINGS_MISSING
        failure.detail shouldContain "no-such-file.json"
    }
}
