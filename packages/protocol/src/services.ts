/** gRPC service definitions for the generated message types. */
import type * as grpc from '@grpc/grpc-js'
import { runs } from './generated/runs.js'
import { wire } from './generated/wire.js'
import { linkTraffic } from './traffic.ts'

interface Codec<T, P> {
  encode: (message: P) => { finish: () => Uint8Array }
  decode: (bytes: Uint8Array) => T
}

function createSerializer<T, P extends object> (sender: string, codec: Codec<T, P>): (message: P) => Buffer {
  return message => {
    const bytes = codec.encode(message).finish()
    linkTraffic.add(sender, message, bytes.byteLength)
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  }
}

/** A bidirectional stream method. `QP` and `RP` are the message types written, `Q` and `R` those read, which differ in protobufjs. */
export interface StreamMethod<QP, RP, Q, R> {
  path: string
  requestStream: true
  responseStream: true
  requestSerialize: grpc.serialize<QP>
  requestDeserialize: grpc.deserialize<Q>
  responseSerialize: grpc.serialize<RP>
  responseDeserialize: grpc.deserialize<R>
}

function createStreamMethod<Q, QP extends object, R, RP extends object> (
  path: string,
  clientName: string,
  serverName: string,
  request: Codec<Q, QP>,
  response: Codec<R, RP>
): StreamMethod<QP, RP, Q, R> {
  return {
    path,
    requestStream: true,
    responseStream: true,
    requestSerialize: createSerializer(clientName, request),
    requestDeserialize: bytes => request.decode(bytes),
    responseSerialize: createSerializer(serverName, response),
    responseDeserialize: bytes => response.decode(bytes)
  }
}

/** Stream that an agent opens to an entry. */
export const agentLink = {
  exchange: createStreamMethod('/egretvalve.AgentLink/Exchange', 'agent', 'entry',
    wire.AgentToEntry as Codec<wire.AgentToEntry, wire.IAgentToEntry>,
    wire.EntryToAgent as Codec<wire.EntryToAgent, wire.IEntryToAgent>)
}

/** Stream that an entry opens to another entry. */
export const peerLink = {
  exchange: createStreamMethod('/egretvalve.PeerLink/Exchange', 'peer', 'peer',
    wire.PeerFrame as Codec<wire.PeerFrame, wire.IPeerFrame>,
    wire.PeerFrame as Codec<wire.PeerFrame, wire.IPeerFrame>)
}

/** Stream that the agent of a leased worker opens to an entry. */
export const runLink = {
  exchange: createStreamMethod('/egretvalve.RunLink/Exchange', 'agent', 'entry',
    runs.FromAgent as Codec<runs.FromAgent, runs.IFromAgent>,
    runs.FromEntry as Codec<runs.FromEntry, runs.IFromEntry>)
}

/** Stream that an entry opens to another one to claim jobs there. */
export const claimLink = {
  exchange: createStreamMethod('/egretvalve.ClaimLink/Exchange', 'claimant', 'registrar',
    runs.FromClaimant as Codec<runs.FromClaimant, runs.IFromClaimant>,
    runs.FromRegistrar as Codec<runs.FromRegistrar, runs.IFromRegistrar>)
}

/** Stream that an entry opens to another one to hand jobs over. */
export const handOverLink = {
  exchange: createStreamMethod('/egretvalve.HandOverLink/Exchange', 'handing', 'taking',
    runs.FromHandingEntry as Codec<runs.FromHandingEntry, runs.IFromHandingEntry>,
    runs.FromTakingEntry as Codec<runs.FromTakingEntry, runs.IFromTakingEntry>)
}
