/** Results of calls to the state service. */
import type { StateEvent, StateItem } from '@tealdock/wire';

/** Result of a read; `failed` says nothing about the key. */
export type ReadResult =
  { kind: 'found'; item: StateItem } | { kind: 'missing' } | { kind: 'failed' };

/** As `ReadResult`, with the value decoded; a value that can't be decoded is a failed read. */
export type ValueReadResult<T> =
  { kind: 'found'; value: T; version: number } | { kind: 'missing' } | { kind: 'failed' };

/** All items with a prefix, and the revision from which a watch misses no later change. */
export type RangeReadResult =
  { kind: 'ok'; items: StateItem[]; revision: number } | { kind: 'failed' };

/**
 * Result of a transaction. `conflict`: a precondition did not hold. `no_lease`: the lease of a
 * write has ended. `refused`: surely not executed, for another reason. `invalid`: not executed, and it
 * will not be if it is sent again, for example because it exceeds a limit. `unknown`: it may have
 * been executed, or may still be.
 */
export type CompareAndSwapResult =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict' }
  | { kind: 'no_lease' }
  | { kind: 'refused' }
  | { kind: 'invalid' }
  | { kind: 'unknown' };

/**
 * Result of a comparison of key versions. `changed`: some keys have other versions; the list need
 * not name all of them. `unknown`: there was no usable answer.
 */
export type CompareResult =
  { kind: 'equal' } | { kind: 'changed'; changedKeys: string[] } | { kind: 'unknown' };

/**
 * Result of a watch. `too_old`: the service no longer has all changes since the revision.
 * `too_many`: they are more than this process takes at once. The keys must then be read again.
 */
export type WatchResult =
  | { kind: 'events'; revision: number; events: StateEvent[] }
  | { kind: 'too_old' }
  | { kind: 'too_many' }
  | { kind: 'failed' };

/** Result of a request for a lease; `failed`: a lease may exist, but nothing will use it. */
export type LeaseGrantResult = { kind: 'granted'; leaseId: number } | { kind: 'failed' };

/** Result of the renewal of a lease; `failed` says nothing about the lease. */
export type LeaseRenewalResult = 'ok' | 'ended' | 'failed';
