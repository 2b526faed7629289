/** Results of calls to the state service. */
import type { StateEvent, StateItem } from '@tealdock/wire';

/** Result of a read; `failed` says nothing about the key. */
export type ReadResult =
  { kind: 'found'; item: StateItem } | { kind: 'missing' } | { kind: 'failed' };

/** The same with a decoded value; one that can't be decoded counts as a failed read. */
export type ValueReadResult<T> =
  { kind: 'found'; value: T; version: number } | { kind: 'missing' } | { kind: 'failed' };

/** All items with a prefix, and the revision from which a watch misses no later change. */
export type RangeReadResult =
  { kind: 'ok'; items: StateItem[]; revision: number } | { kind: 'failed' };

/**
 * Result of a transaction. `conflict`: a precondition did not hold. `no_lease`: the lease of a
 * write has ended. `refused`: surely not executed. `unknown`: perhaps executed, now or later.
 */
export type CompareAndSwapResult =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict' }
  | { kind: 'no_lease' }
  | { kind: 'refused' }
  | { kind: 'unknown' };

/** Whether keys have the versions with which they were compared. */
export type CompareResult =
  { kind: 'equal' } | { kind: 'changed'; changedKeys: string[] } | { kind: 'unknown' };

/** Result of a watch; `too_old`: the service no longer knows all changes since the revision. */
export type WatchResult =
  | { kind: 'events'; revision: number; events: StateEvent[] }
  | { kind: 'too_old' }
  | { kind: 'failed' };

/** Result of a request for a lease; `failed`: a lease may exist, but nothing will use it. */
export type LeaseGrantResult = { kind: 'granted'; leaseId: number } | { kind: 'failed' };

/** Result of the renewal of a lease; `failed` says nothing about the lease. */
export type LeaseRenewalResult = 'ok' | 'ended' | 'failed';
