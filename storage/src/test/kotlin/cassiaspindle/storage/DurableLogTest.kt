package cassiaspindle.storage

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.LogRecordKind
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class DurableLogTest : AnnotationSpec() {
    private val faulty = FaultyFiles()

    @BeforeEach
    fun startEmpty() {
        faulty.freeBytes = Int.MAX_VALUE
        faulty.failsSync = false
        open().rewrite(emptyList())
    }

    @Test
    fun `synced records survive a crash`() {
        open().append(records(1..3))
        faulty.crash(LOG_FILE)
        recoveredRecords() shouldBe records(1..3)
    }

    @Test
    fun `a torn tail is truncated wherever it is torn`() {
        open().append(records(1..3))
        val durableLength = faulty.length(LOG_FILE)
        for (kept in 0..40) {
            faulty.failsSync = true
            open().append(records(4..4)).getError().shouldNotBeNull().code shouldBe ResultCode.SYNC_FAILED
            faulty.failsSync = false
            faulty.crash(LOG_FILE, kept)
            recoveredRecords() shouldBe records(1..3)
            faulty.length(LOG_FILE) shouldBe durableLength
        }
    }

    @Test
    fun `corruption before durable records is detected at every byte`() {
        open().apply {
            append(records(1..2))
            append(records(3..3))
        }
        val lastRecordStart = faulty.length(LOG_FILE) / 3 * 2
        for (offset in 0 until lastRecordStart - 1) {
            faulty.flip(LOG_FILE, offset)
            DurableLog.open(faulty.files).getError().shouldNotBeNull().code shouldBe ResultCode.LOG_DAMAGED
            faulty.flip(LOG_FILE, offset)
        }
        recoveredRecords() shouldBe records(1..3)
    }

    @Test
    fun `an append to a full disk fails and loses no durable records`() {
        open().append(records(1..3))
        faulty.freeBytes = 10
        open().append(records(4..4)).getError().shouldNotBeNull().code shouldBe ResultCode.SYNC_FAILED
        faulty.freeBytes = Int.MAX_VALUE
        recoveredRecords() shouldBe records(1..3)
    }

    @Test
    fun `a failed rewrite keeps the old records`() {
        open().append(records(1..3))
        faulty.failsSync = true
        open().rewrite(records(3..3)).getError().shouldNotBeNull().code shouldBe ResultCode.SYNC_FAILED
        faulty.failsSync = false
        recoveredRecords() shouldBe records(1..3)
    }

    @Test
    fun `a rewritten log contains the new records and accepts more`() {
        open().apply {
            append(records(1..3))
            rewrite(records(3..3))
            append(records(4..4))
        }
        recoveredRecords() shouldBe records(3..4)
    }

    private fun open(): DurableLog = DurableLog.open(faulty.files).get().shouldNotBeNull().log

    private fun recoveredRecords(): List<LogRecord> = DurableLog.open(faulty.files).get().shouldNotBeNull().records

    private fun records(indexes: IntRange): List<LogRecord> = indexes.map { index ->
        val entry = LogEntry(index.toLong(), 1, ControlCommand(ControlCommandKind.NO_OPERATION))
        LogRecord(group = 0, kind = LogRecordKind.ENTRY, entry = entry)
    }

    private companion object {
        const val LOG_FILE = "control.log"
    }
}
