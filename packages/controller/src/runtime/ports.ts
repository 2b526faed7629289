/** Commands that reach the state owner, and the effects that it asks for. */
import type { Duration, Instant, LeaderBroadcast, PeerHeartbeat } from '@tealdock/wire';

/** A request that came in over HTTP, or from another controller. */
export interface HttpRequest {
  kind: 'request';
  id: number;
  method: string;
  path: string;
  body: Buffer;
  via: RequestOrigin;
}

/** An input of the state owner; all of them go through one queue, in batches. */
export type Command =
  | HttpRequest
  | { kind: 'result'; id: number; result: CallResult }
  | PeerHeartbeat
  | { kind: 'leader_broadcast'; message: LeaderBroadcast }
  | { kind: 'peer_refused'; member: string }
  | { kind: 'tick' };

/** Where a request came in: from users and workers, or from another controller. */
export type RequestOrigin = 'public' | 'peer';

/** The service or process that a call goes to. */
export type CallTarget = 'state' | 'cloud' | 'peer' | 'worker';

/** Calls to a rate-limited service wait in the order of these, the lowest first. */
export const PRIORITY = { lease: 0, user: 1, leader: 2, background: 3 } as const;
/** One of the priorities. */
export type CallPriority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** A request to something outside this process. */
export interface Call {
  target: CallTarget;
  /** Member name of a peer, or address of a worker; empty for the other targets. */
  to: string;
  method: string;
  path: string;
  body: unknown;
  priority: CallPriority;
  /** Keys that it changes; the state service limits these per second as well. */
  writeCount: number;
  timeout: Duration;
}

/**
 * Outcome of a call. `answer`: a response came. `unsent`: surely not executed. `lost`: no
 * response; it may have been executed, or may still be.
 */
export type CallResult =
  { kind: 'answer'; status: number; body: unknown } | { kind: 'unsent' } | { kind: 'lost' };

/** The response to a request. */
export interface Reply {
  status: number;
  body: unknown;
  /** Sent as the `Retry-After` header. */
  retryAfter?: Duration;
  /** Sent as the `Allow` header. */
  allow?: string;
  /** The response may only be sent before this instant; afterwards it becomes a 503. */
  validUntil?: Instant;
}

/** Something that the state owner asks its process to do. */
export type Effect =
  | { kind: 'reply'; id: number; reply: Reply }
  | { kind: 'call'; id: number; call: Call }
  | { kind: 'heartbeat'; leader: string; fencingToken: number; stateAvailable: boolean }
  | { kind: 'broadcast'; message: LeaderBroadcast }
  /** From now on this node may use that fraction of the changes per second. */
  | { kind: 'set_write_fraction'; fraction: number };

/** Severity of a log line. */
export type LogLevel = 'error' | 'info' | 'debug';
/** Writes one log line. */
export type Log = (level: LogLevel, fields: Record<string, unknown>, message: string) => void;

/** A number in [0, 1), uniformly distributed. */
export type Random = () => number;
