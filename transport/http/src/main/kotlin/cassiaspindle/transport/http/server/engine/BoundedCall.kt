package cassiaspindle.transport.http.server.engine

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.transport.relay.BodyTooSlowException
import cassiaspindle.transport.relay.BufferBudgetExceededException
import cassiaspindle.transport.relay.RelayCall
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.server.application.Application
import io.ktor.server.engine.BaseApplicationCall
import io.ktor.util.AttributeKey
import kotlin.coroutines.CoroutineContext

/** The bounded call behind a call that a route handles. */
internal val BOUNDED_CALL = AttributeKey<BoundedCall>("bounded-call")

/** A call of Ktor's server on an exchange of a bounded connection. */
internal class BoundedCall(
    application: Application,
    private val exchange: RelayCall,
    override val coroutineContext: CoroutineContext,
) : BaseApplicationCall(application) {
    override val request = BoundedRequest(this, exchange.head)
    override val response = BoundedResponse(this, exchange)

    init {
        putResponseAttribute(response)
        attributes.put(BOUNDED_CALL, this)
    }

    /** Reads the whole body; fails if it is larger than [maximumBytes], too slow, or finds no memory. */
    suspend fun readBody(maximumBytes: Int): Result<ByteArray, Failure> = try {
        exchange.readBody(maximumBytes)?.let { Ok(it) } ?: Err(Failure(ResultCode.TOO_LARGE))
    } catch (_: BufferBudgetExceededException) {
        Err(Failure(ResultCode.OVERLOADED))
    } catch (_: BodyTooSlowException) {
        Err(Failure(ResultCode.BODY_TOO_SLOW))
    }
}
