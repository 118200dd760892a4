package cassiaspindle.storage

import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.nio.file.Files

class DataFolderTest : AnnotationSpec() {
    @Test
    fun `a folder keeps its identity and is locked by one process`() {
        val path = Files.createTempDirectory("data-folder")
        val folder = DataFolder.open(path).get().shouldNotBeNull()
        DataFolder.open(path).getError().shouldNotBeNull().code shouldBe ResultCode.FOLDER_IN_USE
        val identity = folder.identity()
        folder.close()
        val again = DataFolder.open(path).get().shouldNotBeNull()
        again.identity() shouldBe identity
        again.close()
    }

    @Test
    fun `two new folders have different identities`() {
        val identities = List(2) {
            val folder = DataFolder.open(Files.createTempDirectory("data-folder")).get().shouldNotBeNull()
            folder.identity().also { folder.close() }
        }
        identities[0] shouldNotBe identities[1]
    }
}
