package cassiaspindle.command.local

import cassiaspindle.codec.SettingsReader
import cassiaspindle.core.result.Failure
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.transport.http.client.OperatorClient
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map

/** Applies the service documents of [example]; applying them again has no effect. */
internal suspend fun applyDocuments(example: Example, operatorClient: OperatorClient): Result<Unit, Failure> {
    var applied: Result<Unit, Failure> = Ok(Unit)
    for (service in example.services) {
        applied = applied.flatMap { exampleDocument(example, service) }.flatMap { operatorClient.apply(it) }.map { }
    }
    return applied
}

/** Reads the document of [service] in [example] from the resources. */
internal fun exampleDocument(example: Example, service: String): Result<ServiceDocument, Failure> {
    val path = "/examples/${example.name}/$service.json"
    val text = checkNotNull(Example::class.java.getResource(path)) { "$path is missing" }.readText()
    return SettingsReader.decodeDocument(text)
}
