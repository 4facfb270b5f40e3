import { status as grpcStatus, type ServiceError } from '@grpc/grpc-js'

/** Why a remote call gave no answer. Whether the far side acted on it is unknown unless stated. */
export type RpcError =
  /** No connection: the far side never saw the call. */
  | { readonly kind: 'unreachable', readonly address: string }
  | { readonly kind: 'deadline', readonly address: string }
  /** The far side failed while handling it, or the connection broke. */
  | { readonly kind: 'failed', readonly address: string, readonly detail: string }
  | { readonly kind: 'cancelled', readonly address: string }

/**
 * Turns a transport error into this layer's own.
 *
 * @param error - from the gRPC library
 * @param address - who was called
 * @returns the error
 */
export function fromServiceError (error: ServiceError, address: string): RpcError {
  switch (error.code) {
    case grpcStatus.UNAVAILABLE: return { kind: 'unreachable', address }
    case grpcStatus.DEADLINE_EXCEEDED: return { kind: 'deadline', address }
    case grpcStatus.CANCELLED: return { kind: 'cancelled', address }
    default: return { kind: 'failed', address, detail: error.details }
  }
}
