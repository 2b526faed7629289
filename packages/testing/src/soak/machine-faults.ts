/** Faults of machines and of their workers' connections. */
import type { Duration } from '@tealdock/wire';
import { TAKEOVER_ROUNDS, type PlannedFault } from './fault-plan.js';
import type { FaultTimers } from './fault-timers.js';
import type { LoopbackSite } from './loopback-site.js';
import type { NodeFaults } from './node-faults.js';
import type { MachineFaults } from './worker-host.js';

/** Delay of `heartbeat_responses_delayed`. */
const LATE_DELAY_MS: Duration = 3000;
const AFFECTED_MACHINES_FRACTION = 0.4;
const TOKEN_POLL_INTERVAL_MS: Duration = 10;

/** Hangs, isolates, reboots and replaces machines. */
export class MachineFaultInjectors {
  constructor(
    private readonly site: LoopbackSite,
    private readonly timers: FaultTimers,
    private readonly nodes: NodeFaults,
  ) {}

  /** Functions that inject a fault, by its kind. */
  injectors() {
    return {
      machines_hang: (fault: PlannedFault) => this.hangMachines(fault),
      machine_heartbeats_lost: (fault: PlannedFault) =>
        this.injectMachineFault(fault, { heartbeatsLost: true }, { heartbeatsLost: false }),
      machine_inbound_blocked: (fault: PlannedFault) =>
        this.injectMachineFault(
          fault,
          { responsesLost: true, commandsHeld: true },
          { responsesLost: false, commandsHeld: false },
        ),
      machines_isolated_at_takeovers: (fault: PlannedFault) => this.isolateAtTakeovers(fault),
      heartbeat_responses_delayed: (fault: PlannedFault) =>
        this.injectMachineFault(fault, { responseDelay: LATE_DELAY_MS }, { responseDelay: 0 }),
      machine_quick_reboot: (fault: PlannedFault) => {
        const [first] = this.affectedMachineIds(fault);
        if (first !== undefined) this.site.workers.worker(first)?.reboot();
      },
      machine_replaced: (fault: PlannedFault) => {
        const [first] = this.affectedMachineIds(fault);
        if (first === undefined) return;
        this.site.cloud.removeMachine(first);
        this.site.cloud.addMachine('a');
      },
    };
  }

  /** A contiguous part of the list of machines, which wraps around at its end. */
  private affectedMachineIds({ dice }: PlannedFault): string[] {
    const ids = this.site.workers.machineIds;
    const from = Math.floor(dice * ids.length);
    const count = Math.ceil(ids.length * AFFECTED_MACHINES_FRACTION);
    return [...ids, ...ids].slice(from, from + count);
  }

  private hangMachines(fault: PlannedFault): void {
    const workers = this.affectedMachineIds(fault).flatMap(
      (id) => this.site.workers.worker(id) ?? [],
    );
    for (const worker of workers) worker.isHung = true;
    this.timers.after(fault.lasts, () => {
      for (const worker of workers) worker.isHung = false;
    });
  }

  private injectMachineFault(
    fault: PlannedFault,
    begin: Partial<MachineFaults>,
    end: Partial<MachineFaults>,
  ): void {
    const machines = this.affectedMachineIds(fault);
    for (const id of machines) this.site.workers.setFaults(id, begin);
    this.timers.after(fault.lasts, () => {
      for (const id of machines) this.site.workers.setFaults(id, end);
    });
  }

  /** Isolates machines across several takeovers; in each round they get one heartbeat response. */
  private isolateAtTakeovers(fault: PlannedFault): void {
    const machines = this.affectedMachineIds(fault);
    for (let i = 0; i < TAKEOVER_ROUNDS.count; i++) {
      this.timers.after(i * TAKEOVER_ROUNDS.intervalMs, () => {
        for (const id of machines) this.setIsolated(id, true);
        this.nodes.killAndRestart(this.nodes.leaderOrNode(fault.node));
      });
      this.timers.after(i * TAKEOVER_ROUNDS.intervalMs + TAKEOVER_ROUNDS.isolatedMs, () => {
        for (const id of machines) this.allowOneResponse(id);
      });
    }
    this.timers.after(TAKEOVER_ROUNDS.count * TAKEOVER_ROUNDS.intervalMs, () => {
      for (const id of machines) this.setIsolated(id, false);
    });
  }

  private setIsolated(id: string, isolated: boolean): void {
    this.site.workers.setFaults(id, { heartbeatsRefused: isolated, commandsHeld: isolated });
  }

  /** Ends the isolation of a machine until it has received a higher fencing token. */
  private allowOneResponse(id: string): void {
    const token = this.site.workers.worker(id)?.fencingToken ?? 0;
    this.setIsolated(id, false);
    const poll = () => {
      const worker = this.site.workers.worker(id);
      if (worker && worker.fencingToken > token) this.setIsolated(id, true);
      else if (worker) this.timers.after(TOKEN_POLL_INTERVAL_MS, poll);
    };
    poll();
  }
}
