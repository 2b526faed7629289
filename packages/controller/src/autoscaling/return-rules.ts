/** Which machines are of no use and go back to the cloud. */
import type { Duration } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../placement/fleet-policy.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { MachineInventory, ProvisioningMachine } from './machine-inventory.js';

/** The cloud charges a machine that is returned for at least this long. */
const MIN_CHARGED_TIME_MS = 60_000;
/**
 * After a failover, rented machines that are not reconciled are given up once they are this
 * fraction of all: a tiny one soon, since all older work waits for the last machine.
 */
const FEW_UNRECONCILED_TIMEOUT_MS = 2000;
const FEW_UNRECONCILED_FRACTION = 0.01;
const UNRECONCILED_TIMEOUT_MS = 8000;
const UNRECONCILED_FRACTION = 0.05;
/** A machine that the list lacks is given up if no lease was renewed in a new term for so long, */
const NEW_TERM_SILENCE_TIMEOUT_MS = 1500;
/** or else for this many heartbeat intervals. */
const SILENCE_TIMEOUT_FACTOR = 1.5;
/** An owned fleet is not paid for by the second: what it rents is kept for longer. */
const FAST_IDLE_TIMEOUT_MS = 300_000;
/** A rented machine that loses this many starts in a row is of no use. */
const MAX_LOST_START_COUNT = 3;
/** What a boot may take beyond the operators' limit. */
const BOOT_MARGIN_MS = 5000;

/** Decides on returns; changes nothing. */
export class ReturnRules {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
    private readonly inventory: MachineInventory,
  ) {}

  /** Machines that go back now. */
  machinesToReturn(): Machine[] {
    const includeUnreconciled = this.shouldReturnUnreconciled();
    return [...this.term.machines.values()].filter(
      (machine) =>
        !machine.registration.isReturning && this.shouldReturn(machine, includeUnreconciled),
    );
  }

  /** Machines that failed or never came up, by id: no term has given them work. */
  neverUsedMachines(): string[] {
    const failed = [...this.inventory.listedMachines]
      .filter(([id, { state }]) => state === 'failed' && !this.isInFleetOrTerminated(id))
      .map(([id]) => id);
    const neverUp = [...this.inventory.provisioning]
      .filter(([, machine]) => this.isBootOverdue(machine))
      .map(([id]) => id);
    return [...failed, ...neverUp];
  }

  /** Whether the machine has no tasks, and no heartbeat of it has counted for a whole lease. */
  isLongSilent(machine: Machine): boolean {
    const { heartbeats, registration, bindings } = machine;
    const observedAt = Math.min(registration.firstObservedAt, this.runtime.now);
    const lastCountedAt = heartbeats.lastCountedAt ?? Math.max(this.term.electedAt, observedAt);
    return bindings.size === 0 && this.runtime.now > this.term.leaseExpiry.leaseEnd(lastCountedAt);
  }

  private isInFleetOrTerminated(id: string): boolean {
    return this.term.machines.has(id) || this.term.machineRegistry.isTerminated(id);
  }

  private isBootOverdue({ type, requestedAt }: ProvisioningMachine): boolean {
    const boot = this.catalog.types.find(({ name }) => name === type)?.boot;
    if (boot === undefined) return false;
    const limit = boot * this.runtime.operator.fleet.bootTimeoutFactor + BOOT_MARGIN_MS;
    return this.runtime.now - requestedAt > limit;
  }

  private shouldReturn(machine: Machine, includeUnreconciled: boolean): boolean {
    const { id, health, registration } = machine;
    const hasFailed = this.inventory.listedMachines.get(id)?.state === 'failed';
    if (hasFailed || this.hasVanished(machine)) return true;
    if (this.inventory.isOwned(id) || !this.inventory.isOwnershipKnown) return false;
    if (health.consecutiveLostStartCount >= MAX_LOST_START_COUNT) return true;
    if (!registration.isReconciled) return includeUnreconciled;
    return this.isLongSilent(machine) || this.isLongIdle(machine);
  }

  /**
   * Whether the list lacks a machine that it would show, and the machine is silent. That alone
   * proves nothing; the answer to its return will.
   */
  private hasVanished({ id, heartbeats, registration }: Machine): boolean {
    const { listCompleteUntil, listedMachines } = this.inventory;
    if (listCompleteUntil === null || listedMachines.has(id)) return false;
    if (this.timeSinceLeaseRenewal(heartbeats.lastLeaseRenewalAt) < this.maxSilence(heartbeats))
      return false;
    return listCompleteUntil > registration.firstObservedAt;
  }

  private timeSinceLeaseRenewal(lastLeaseRenewalAt: number | null): Duration {
    return this.runtime.now - (lastLeaseRenewalAt ?? this.term.electedAt);
  }

  /** Machines find the leader of a new term soon. */
  private maxSilence({ lastLeaseRenewalAt }: Machine['heartbeats']): Duration {
    if (lastLeaseRenewalAt === null) return NEW_TERM_SILENCE_TIMEOUT_MS;
    return this.runtime.settings.heartbeatInterval * SILENCE_TIMEOUT_FACTOR;
  }

  /**
   * Whether few machines are not reconciled while the rest of the fleet is: the answers to
   * their returns prove them gone sooner than the expiry of their leases would.
   */
  private shouldReturnUnreconciled(): boolean {
    const termAge = this.runtime.now - this.term.electedAt;
    if (termAge < FEW_UNRECONCILED_TIMEOUT_MS) return false;
    const unreconciledCount = this.term.unreconciledMachines().length;
    const machineCount = this.term.machines.size;
    // In a small fleet the last one is more likely slow than gone, and expensive to lose.
    if (termAge < UNRECONCILED_TIMEOUT_MS)
      return unreconciledCount <= machineCount * FEW_UNRECONCILED_FRACTION;
    return unreconciledCount <= Math.max(1, machineCount * UNRECONCILED_FRACTION);
  }

  private isLongIdle({ id, usage, heartbeats }: Machine): boolean {
    if (usage.idleSince === null || heartbeats.preemptionDeadline !== null) return false;
    const { idleTimeout } = this.runtime.operator.fleet;
    const minIdleTime = this.inventory.policy === 'fast' ? FAST_IDLE_TIMEOUT_MS : idleTimeout;
    const age = this.inventory.listedMachines.get(id)?.age ?? Infinity;
    return this.runtime.now - usage.idleSince >= minIdleTime && age >= MIN_CHARGED_TIME_MS;
  }
}
