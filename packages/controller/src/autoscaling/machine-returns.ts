/** Machines that go back to the cloud: idle, failed, vanished or never up. */
import { MAX_RETURN, RETURN_PATH, renderReturn, type MachineType } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { CloudCalls } from './cloud-calls.js';
import type { MachineInventory, Provisioning } from './machine-inventory.js';

/** The cloud charges a machine that is returned for at least this long. */
const LEAST_CHARGE = 60_000;
/** After a take-over, this few unheard machines, as a part of all, are given up this soon. */
const UNHEARD_PATIENCE = 8000;
const UNHEARD_PART = 0.05;
/** And this few even sooner, since all older work waits for the last machine. */
const FEW_PATIENCE = 2000;
const FEW_PART = 0.01;
/** A machine that a list lacks and this term has not heard is given up after this long. */
const NEW_TERM_PATIENCE = 1500;
/** And one that it has heard, after so many reports. */
const MISSED_REPORTS = 1.5;
/** An owned fleet is not paid for by the second: what it rents is kept for longer. */
const FAST_IDLE = 300_000;
/** A rented machine that loses this many starts in a row is of no use. */
const MAX_LOST_STARTS = 3;
/** What a boot may take beyond its type's time and the operators' patience. */
const BOOT_MARGIN = 5000;

/** Returns machines, each only once no later term can give it work. */
export class MachineReturns {
  private returning = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly types: () => MachineType[],
    private readonly cloud: CloudCalls,
    private readonly inventory: MachineInventory,
  ) {}

  /** Its reports arrive, or did, but none has counted for a whole lease. */
  countsNoMore(machine: Machine): boolean {
    const since =
      machine.heartbeats.lastCountedAt ??
      Math.max(
        this.term.electedAt,
        Math.min(machine.registration.firstObservedAt, this.runtime.now),
      );
    return machine.bindings.size === 0 && this.runtime.now > this.term.leaseExpiry.leaseEnd(since);
  }

  /**
   * A machine that may have had work is first marked in the machine registry: no later term
   * may give work to a machine that is on its way back.
   */
  giveBack(): void {
    if (!this.term.stateLoaded) return;
    const heldUp = this.termHeldUp();
    for (const machine of this.term.machines.values()) {
      if (machine.registration.isReturning || !this.shouldReturn(machine, heldUp)) continue;
      this.runtime.log(
        'info',
        { machine: machine.id, type: machine.type, spot: machine.spot },
        'scale-in requested',
      );
      this.term.machineRegistry.markReturning(machine);
    }
    if (this.returning) return;
    const ids = [...new Set([...this.marked(), ...this.neverUsed()])].slice(0, MAX_RETURN);
    if (ids.length > 0) this.sendReturn(ids);
  }

  private marked(): string[] {
    return [...this.term.machines.values()]
      .filter((m) => m.registration.isReturning && m.registration.isReturnCommitted)
      .map((m) => m.id);
  }

  /** Failed or never up: no term has given them work. */
  private neverUsed(): string[] {
    const ids: string[] = [];
    for (const [id, machine] of this.inventory.listed) {
      const unknown = !this.term.machines.has(id) && !this.term.machineRegistry.isTerminated(id);
      if (machine.state === 'failed' && unknown) ids.push(id);
    }
    for (const [id, c] of this.inventory.provisioning) if (this.neverCame(c)) ids.push(id);
    return ids;
  }

  private sendReturn(ids: string[]): void {
    this.returning = true;
    this.cloud.send('POST', RETURN_PATH, renderReturn(ids), PRIORITY.leader, (result) => {
      this.returning = false;
      if (result.kind !== 'answer' || result.status !== 200) return;
      this.runtime.log('info', { machines: ids }, 'scale-in confirmed');
      for (const id of ids) {
        this.term.machineRegistry.recordTerminated(id);
        this.inventory.provisioning.delete(id);
        this.inventory.listed.delete(id);
      }
    });
  }

  private neverCame(machine: Provisioning): boolean {
    const boot = this.types().find((t) => t.name === machine.type)?.boot;
    if (boot === undefined) return false;
    return (
      this.runtime.now - machine.requestedAt >
      boot * this.runtime.operator.fleet.bootTimeoutFactor + BOOT_MARGIN
    );
  }

  private shouldReturn(machine: Machine, heldUp: boolean): boolean {
    if (this.inventory.listed.get(machine.id)?.state === 'failed' || this.vanished(machine))
      return true;
    if (this.inventory.isOwned(machine.id) || this.inventory.owned === null) return false;
    if (
      machine.health.consecutiveLostStartCount >= MAX_LOST_STARTS ||
      (machine.registration.isReconciled && this.countsNoMore(machine))
    )
      return true;
    if (!machine.registration.isReconciled) return heldUp;
    return this.idleLongEnough(machine);
  }

  /**
   * It was there before any moment that the newest list may describe, the list
   * lacks it, and it is not heard. That alone proves nothing; the answer to its
   * return will.
   */
  private vanished(machine: Machine): boolean {
    if (this.inventory.listAsked === null || this.inventory.listed.has(machine.id)) return false;
    // A new term's machines are not heard until they have found it.
    const { lastLeaseRenewalAt: lastHeard } = machine.heartbeats;
    const silence = this.runtime.now - (lastHeard ?? this.term.electedAt);
    const patience =
      lastHeard === null
        ? NEW_TERM_PATIENCE
        : this.runtime.settings.heartbeatInterval * MISSED_REPORTS;
    if (silence < patience) return false;
    return (
      this.inventory.listAsked - this.runtime.settings.cloud.listLag * 2 >
      machine.registration.firstObservedAt
    );
  }

  /**
   * Few rented machines stay unheard while the rest of the fleet has reported:
   * their return proves them gone sooner than the end of their lease would.
   */
  private termHeldUp(): boolean {
    const age = this.runtime.now - this.term.electedAt;
    if (age < FEW_PATIENCE) return false;
    const expired = this.term.unreconciledMachines().length;
    const all = this.term.machines.size;
    // In a small fleet the last one is more likely slow than gone, and dear to lose.
    if (age < UNHEARD_PATIENCE) return expired <= all * FEW_PART;
    return expired <= Math.max(1, all * UNHEARD_PART);
  }

  private idleLongEnough(machine: Machine): boolean {
    const { idleSince } = machine.usage;
    if (idleSince === null || machine.heartbeats.preemptionDeadline !== null) return false;
    const fast = this.inventory.policy() === 'fast';
    const least = fast ? FAST_IDLE : this.runtime.operator.fleet.idleTimeout;
    const age = this.inventory.listed.get(machine.id)?.age ?? Infinity;
    return this.runtime.now - idleSince >= least && age >= LEAST_CHARGE;
  }
}
