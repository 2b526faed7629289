/** Periodic checks of a term's machines: silence, idleness, and leases that have expired. */
import type { Leadership } from '../leadership/leadership.js';
import { LeaseExpiry } from '../machines/lease-expiry.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import type { Bindings } from './bindings.js';
import type { Fleet } from './fleet.js';
import type { TermView } from './term-view.js';
import type { WorkerCommands } from './worker-commands.js';

const CHECK_INTERVAL_MS = 1000;
/** Tasks are taken back from a machine without heartbeats for this many intervals. */
const UNDISPATCHED_TIMEOUT_FACTOR = 1.8;

/** What the checks read of a term. */
export interface MaintainedTerm extends TermView {
  readonly allMachinesReconciled: boolean;
}

/** The parts of a term that the checks change. */
export interface MaintenanceTargets {
  readonly fleet: Fleet;
  readonly bindings: Bindings;
  readonly workerCommands: WorkerCommands;
}

/** Checks all machines of a term every second, while leadership is certain. */
export class MachineMaintenance {
  readonly leaseExpiry: LeaseExpiry;
  private wasReconciled = false;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: MaintainedTerm,
    private readonly targets: MaintenanceTargets,
  ) {
    this.leaseExpiry = new LeaseExpiry(runtime, state, term, (expired) => this.endExpired(expired));
  }

  /** Runs until the term closes. */
  start(): void {
    this.runtime.every(CHECK_INTERVAL_MS, () => {
      if (!this.term.closed) this.check();
      return !this.term.closed;
    });
  }

  private check(): void {
    // While the lease is in doubt no heartbeat is answered, so missing ones prove nothing.
    if (!this.leadership.validLease()) return;
    this.logReconciled();
    this.targets.workerCommands.updateSmallestTask();
    if (this.term.stateLoaded) this.leaseExpiry.check();
    for (const machine of this.term.machines.values()) this.checkMachine(machine);
  }

  private checkMachine(machine: Machine): void {
    machine.usage.accumulateComputeTime(CHECK_INTERVAL_MS);
    const timeoutMs = this.runtime.settings.heartbeatInterval * UNDISPATCHED_TIMEOUT_FACTOR;
    const { lastCountedAt, preemptionDeadline } = machine.heartbeats;
    const silenceMs = this.runtime.now - (lastCountedAt ?? this.term.electedAt);
    const isLeaving = machine.registration.isReturning || preemptionDeadline !== null;
    if (silenceMs > timeoutMs || isLeaving) this.targets.bindings.releaseUndispatched(machine);
    machine.usage.updateIdle(this.runtime.now);
  }

  /** Logs once that all machines are reconciled, so that every job may be placed. */
  private logReconciled(): void {
    if (this.wasReconciled || !this.term.allMachinesReconciled) return;
    this.wasReconciled = true;
    const { fencingToken, electedAt } = this.term;
    const tookMs = this.runtime.now - electedAt;
    this.runtime.stats.record('takeover.ready_ms', tookMs);
    const fields = { fencingToken, tookMs: Math.round(tookMs) };
    this.runtime.log('info', fields, 'machine registry reconciled');
  }

  /** The leases of these machines are certainly over: their workers have killed all tasks. */
  private endExpired(expired: Machine[]): void {
    const { bindings, fleet } = this.targets;
    const machines = expired.map(({ id }) => id);
    this.runtime.log('info', { machines }, 'worker leases expired');
    for (const machine of expired) {
      bindings.endDispatched(machine, 'lease ran out');
      machine.registration.markReconciled();
      // Known by a late heartbeat only and never registered, so it had no tasks.
      if (!machine.registration.isRegistered && machine.bindings.size === 0)
        fleet.remove(machine.id);
    }
  }
}
