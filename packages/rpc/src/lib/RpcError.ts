import { status as grpcStatus, type ServiceError } from '@grpc/grpc-js'

/** Why a remote call returned no response. Unless stated otherwise, it is unknown whether the server executed the call. */
export type RpcError =
  /** No connection could be made, so the server never received the call. */
  | { readonly kind: 'unreachable', readonly address: string }
  | { readonly kind: 'deadline', readonly address: string }
  /** The server failed while handling the call, or the connection broke. */
  | { readonly kind: 'failed', readonly address: string, readonly detail: string }
  | { readonly kind: 'cancelled', readonly address: string }
  /** The connection carried nothing any more and was replaced. Only for streams, which can be opened again at once. */
  | { readonly kind: 'silent', readonly address: string }

/**
 * Converts an error of the gRPC library.
 *
 * @param error - error of the gRPC library
 * @param address - address of the server
 * @returns the converted error
 */
export function fromServiceError (error: ServiceError, address: string): RpcError {
  switch (error.code) {
    case grpcStatus.UNAVAILABLE: return { kind: 'unreachable', address }
    case grpcStatus.DEADLINE_EXCEEDED: return { kind: 'deadline', address }
    case grpcStatus.CANCELLED: return { kind: 'cancelled', address }
    default: return { kind: 'failed', address, detail: error.details }
  }
}
