/**
 * The inputs and outputs of the state owner, which is the single-threaded `Controller`: commands
 * go in, effects come out.
 */
import type { Duration, Instant, LeaderBroadcast, PeerHeartbeat } from '@tealdock/wire';

/** A request received over HTTP or from another controller. */
export interface HttpRequest {
  kind: 'request';
  id: number;
  method: string;
  path: string;
  body: Buffer;
  via: RequestOrigin;
}

/** An input of the state owner; commands are queued and processed in batches. */
export type Command =
  | HttpRequest
  | { kind: 'result'; id: number; result: CallResult }
  | PeerHeartbeat
  | { kind: 'leader_broadcast'; message: LeaderBroadcast }
  | { kind: 'peer_refused'; member: string }
  | { kind: 'tick' };

/** Who sent a request: `public` for users and workers, `peer` for another controller. */
export type RequestOrigin = 'public' | 'peer';

/** The service or process that a call goes to. */
export type CallTarget = 'state' | 'cloud' | 'peer' | 'worker';

/** Calls to a rate-limited service are sent in this order, the lowest number first. */
export const PRIORITY = { lease: 0, user: 1, leader: 2, background: 3 } as const;
/** One of the priorities. */
export type CallPriority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** A request to another process. */
export interface Call {
  target: CallTarget;
  /** Member name of a peer, or address of a worker; empty for the other targets. */
  to: string;
  method: string;
  path: string;
  body: unknown;
  priority: CallPriority;
  /** Number of keys that the call writes; the state service limits these per second as well. */
  writeCount: number;
  timeout: Duration;
}

/**
 * Outcome of a call. `answer`: a response arrived. `unsent`: the call was surely not executed.
 * `lost`: there was no response, so the call may have been executed or may still be. `too_large`: a
 * response without an error arrived, but this process does not take messages of its size.
 */
export type CallResult =
  | { kind: 'answer'; status: number; body: unknown }
  | { kind: 'unsent' }
  | { kind: 'lost' }
  | { kind: 'too_large' };

/** The reply to a request. */
export interface Reply {
  status: number;
  body: unknown;
  /** Sent as the `Retry-After` header. */
  retryAfter?: Duration;
  /** Sent as the `Allow` header. */
  allow?: string;
  /** The reply may only be sent before this instant; later a 503 is sent instead. */
  validUntil?: Instant;
}

/** An output of the state owner, which its process carries out after the batch. */
export type Effect =
  | { kind: 'reply'; id: number; reply: Reply }
  | { kind: 'call'; id: number; call: Call }
  | { kind: 'heartbeat'; leader: string; fencingToken: number; stateAvailable: boolean }
  | { kind: 'broadcast'; message: LeaderBroadcast }
  /** Sets the fraction of the state service's writes per second that this node may use. */
  | { kind: 'set_write_fraction'; fraction: number };

/** Severity of a log line. */
export type LogLevel = 'error' | 'info' | 'debug';
/** Writes one log line. */
export type Log = (level: LogLevel, fields: Record<string, unknown>, message: string) => void;

/** A number in [0, 1), uniformly distributed. */
export type Random = () => number;
