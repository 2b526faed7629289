/** What reaches the state owner, and what it wants done. */
import type { Duration, Instant, LeaderBroadcast, PeerHeartbeat } from '@tealdock/wire';

/** A request that came in over HTTP, or from another controller. */
export interface HttpRequest {
  kind: 'request';
  id: number;
  method: string;
  path: string;
  body: Buffer;
  via: Via;
}

/** What reaches the state owner: everything goes through one queue, in batches. */
export type Command =
  | HttpRequest
  | { kind: 'result'; id: number; result: CallResult }
  | PeerHeartbeat
  | { kind: 'leader_broadcast'; message: LeaderBroadcast }
  | { kind: 'peer_refused'; member: string }
  | { kind: 'tick' };

/** Where a request came in: from users and workers, or from another controller. */
export type Via = 'public' | 'peer';

/** What a call goes to. */
export type Target = 'state' | 'cloud' | 'peer' | 'worker';

/** Lower goes first when tokens are short. */
export const PRIORITY = { lease: 0, user: 1, leader: 2, background: 3 } as const;
/** Priority of a call when tokens are short. */
export type CallPriority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** A request to something outside this process. */
export interface Call {
  target: Target;
  /** Name of a peer, address of a worker; empty for the others. */
  to: string;
  method: string;
  path: string;
  body: unknown;
  priority: CallPriority;
  /** Changes it makes, for the state service's second limit. */
  writes: number;
  timeout: Duration;
}

/**
 * `answer`: a response came. `unsent`: surely not executed. `lost`: it may have
 * been executed, or may still be.
 */
export type CallResult =
  { kind: 'answer'; status: number; body: unknown } | { kind: 'unsent' } | { kind: 'lost' };

/** The answer to a request. */
export interface Reply {
  status: number;
  body: unknown;
  retryAfter?: Duration;
  allow?: string;
  /** The answer may only be written before this instant; afterwards it is a 503. */
  validUntil?: Instant;
}

/** What the state owner wants done outside. */
export type Effect =
  | { kind: 'reply'; id: number; reply: Reply }
  | { kind: 'call'; id: number; call: Call }
  | { kind: 'heartbeat'; leader: string; fencingToken: number; stateAvailable: boolean }
  | { kind: 'broadcast'; message: LeaderBroadcast }
  /** From now on this node may use that fraction of the changes per second. */
  | { kind: 'set_write_fraction'; fraction: number };

/** How much a log line matters. */
export type LogLevel = 'error' | 'info' | 'debug';
/** Writes one log line. */
export type Log = (level: LogLevel, fields: Record<string, unknown>, message: string) => void;

/** Uniform in [0, 1), from a seeded generator. */
export type Random = () => number;
