/** Grants under which other nodes may have renewed workers' leases, as the leader sees them. */
import type { Duration, Instant, StateItem } from '@tealdock/wire';
import { GRANT_DURATION_MS } from '../leadership/delegation-grants.js';
import { maxOnOtherClock } from '../runtime/clock-drift.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { readGrant } from '../state/stored-values.js';

/** A grant that was requested this long ago has ended, on any clock. */
const STALE_GRANT_AGE_MS: Duration = 60_000;

/** A grant counts from the moment at which it is first seen here, since clocks differ. */
export class ObservedGrants {
  private readonly versions = new Map<string, number>();
  private validUntil: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  /** Until when any node may renew leases under an observed grant; -Infinity without one. */
  get delegatedUntil(): Instant {
    return this.validUntil;
  }

  /** Takes in a grant's item. A version that was seen before changes nothing. */
  record(item: StateItem): void {
    const { key, version } = item;
    if (this.versions.get(key) === version) return;
    this.versions.set(key, version);
    const requestedAt = this.state.decode(item, readGrant)?.at ?? Infinity;
    const age = this.runtime.wallClock.getTime() - requestedAt;
    if (age > STALE_GRANT_AGE_MS + 2 * this.runtime.settings.maxClockError) return;
    const end = this.runtime.now + maxOnOtherClock(GRANT_DURATION_MS);
    this.validUntil = Math.max(this.validUntil, end);
  }
}
