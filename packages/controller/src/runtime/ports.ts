import type { Duration, Instant, Told } from '@tealdock/wire';

/** What reaches the state owner: everything goes through one queue, in batches. */
export type Command =
  | { kind: 'request'; id: number; method: string; path: string; body: Buffer; via: Via }
  | { kind: 'result'; id: number; result: CallResult }
  | { kind: 'beat'; member: string; leader: string; token: number; stateOk: boolean }
  | { kind: 'told'; message: Told }
  | { kind: 'refused'; member: string }
  | { kind: 'tick' };

export type Via = 'public' | 'peer';

export type Target = 'state' | 'cloud' | 'peer' | 'worker';

/** Lower goes first when tokens are short. */
export const PRIORITY = { lease: 0, user: 1, leader: 2, background: 3 } as const;
export type CallPriority = (typeof PRIORITY)[keyof typeof PRIORITY];

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

export interface Reply {
  status: number;
  body: unknown;
  retryAfter?: Duration;
  allow?: string;
  /** The answer may only be written before this instant; afterwards it is a 503. */
  validUntil?: Instant;
}

export type Effect =
  | { kind: 'reply'; id: number; reply: Reply }
  | { kind: 'call'; id: number; call: Call }
  | { kind: 'beat'; leader: string; token: number; stateOk: boolean }
  | { kind: 'tell'; message: Told }
  /** From now on this node may use that part of the changes per second. */
  | { kind: 'share_writes'; part: number };

export type LogLevel = 'error' | 'info' | 'debug';
export type Log = (level: LogLevel, fields: Record<string, unknown>, message: string) => void;

/** Uniform in [0, 1), from a seeded generator. */
export type Random = () => number;
