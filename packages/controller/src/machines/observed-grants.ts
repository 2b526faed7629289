/** Delegation grants, under which other nodes may have renewed workers' leases. */
import type { Duration, Instant, StateItem } from '@tealdock/wire';
import { GRANT_DURATION_MS } from '../leadership/delegation-grants.js';
import { maxOnOtherClock } from '../runtime/clock-drift.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { readGrant } from '../state/stored-values.js';

/** A grant that was requested this long ago has expired, on any clock. */
const STALE_GRANT_AGE_MS: Duration = 60_000;

/** Grants as read by the leader. Each counts from when it was first read, since clocks differ. */
export class ObservedGrants {
  private readonly versions = new Map<string, number>();
  private validUntil: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  /** Until when nodes may renew leases under the observed grants; -Infinity without any. */
  get delegatedUntil(): Instant {
    return this.validUntil;
  }

  /** Records a grant as read; no effect if this version was read before. */
  record(item: StateItem): void {
    const { key, version } = item;
    if (this.versions.get(key) === version) return;
    this.versions.set(key, version);
    // The age of an unreadable grant is unknown, so it counts as a new one.
    const requestedAt = this.state.decode(item, readGrant)?.at ?? Infinity;
    const age = this.runtime.wallClock.getTime() - requestedAt;
    if (age > STALE_GRANT_AGE_MS + 2 * this.runtime.settings.maxClockError) return;
    const end = this.runtime.now + maxOnOtherClock(GRANT_DURATION_MS);
    this.validUntil = Math.max(this.validUntil, end);
  }
}
