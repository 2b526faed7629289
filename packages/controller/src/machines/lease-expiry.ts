/** When a worker's lease is surely over. */
import type { Instant, StateItem } from '@tealdock/wire';
import { GRANT_DURATION_MS } from '../leadership/delegation-grants.js';
import { GRANT_PREFIX } from '../state/keys.js';
import { readGrant } from '../state/stored-values.js';
import type { Machine } from './machine.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { maxOnOtherClock } from '../runtime/clock-drift.js';

/** For answers under way. */
const LEASE_MARGIN = 1500;
/** A grant that was asked for this long ago is over; the rest is for clocks that are off. */
const GRANT_STALE_AFTER = 60_000;

/**
 * Grants are read this often while some machine has not been heard for a while: one that is
 * seen late is taken to have begun late, and puts off the end of all unheard machines' leases.
 */
const READ_GRANTS_EVERY = 3000;
/** Reports that a machine has missed when it counts as not heard for a while. */
const MISSED_REPORTS = 2;

/** What it has to know of a term. */
interface RegisteredMachines {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly electedAt: Instant;
  readonly closed: boolean;
}

/**
 * Finds machines whose lease is surely over. A worker without an answer for its whole
 * lease has killed all its tasks; another node may have answered it under a grant, so
 * grants are read first. One that this read does not show was given after the lease
 * was over (docs/safety.md).
 */
export class LeaseExpiry {
  /** Until when any node may have kept workers under a grant. */
  private delegatedUntil: Instant = -Infinity;
  private readonly grantsSeen = new Map<string, number>();
  private reading = false;
  private lastRead: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly registry: RegisteredMachines,
    private readonly onExpired: (expired: Machine[]) => void,
  ) {}

  check(): void {
    if (this.reading || !this.mustRead()) return;
    this.reading = true;
    const asked = this.runtime.now;
    this.lastRead = asked;
    this.state.readAll(GRANT_PREFIX, PRIORITY.leader, (grants) => {
      this.reading = false;
      if (grants.kind === 'failed' || this.registry.closed) return;
      for (const item of grants.items) this.noteGrant(item);
      const expired = this.expiredAt(asked);
      if (expired.length > 0) this.onExpired(expired);
    });
  }

  private mustRead(): boolean {
    if (this.expiredAt(this.runtime.now).length > 0) return true;
    return this.runtime.now - this.lastRead >= READ_GRANTS_EVERY && this.missesReports();
  }

  /** Some machine that matters is late, or has not been heard at all in this term. */
  private missesReports(): boolean {
    const late = this.runtime.settings.heartbeatInterval * MISSED_REPORTS;
    for (const machine of this.registry.machines.values()) {
      if (!machine.reconciled) return true;
      if (
        machine.bindings.size > 0 &&
        this.runtime.now - (machine.lastLeaseRenewalAt ?? this.runtime.now) > late
      )
        return true;
    }
    return false;
  }

  /** The end of a worker's lease if its last answered report was sent at `sent`. */
  leaseEnd(sent: Instant): Instant {
    return sent + maxOnOtherClock(this.runtime.settings.workerLeaseDuration) + LEASE_MARGIN;
  }

  private noteGrant(item: StateItem): void {
    const { key, version } = item;
    if (this.grantsSeen.get(key) === version) return;
    this.grantsSeen.set(key, version);
    const age =
      this.runtime.wallClock.getTime() - (this.state.decode(item, readGrant)?.at ?? Infinity);
    if (age > GRANT_STALE_AFTER + 2 * this.runtime.settings.maxClockError) return;
    this.delegatedUntil = Math.max(
      this.delegatedUntil,
      this.runtime.now + maxOnOtherClock(GRANT_DURATION_MS),
    );
  }

  /** Machines whose lease was over at that instant, where something depends on it. */
  private expiredAt(instant: Instant): Machine[] {
    const expired: Machine[] = [];
    for (const machine of this.registry.machines.values()) {
      const matters = !machine.reconciled || machine.bindings.size > 0 || !machine.registered;
      const answered = Math.max(
        machine.lastLeaseRenewalAt ?? this.registry.electedAt,
        this.delegatedUntil,
      );
      if (matters && instant >= this.leaseEnd(answered)) expired.push(machine);
    }
    return expired;
  }
}
