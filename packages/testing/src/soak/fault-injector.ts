/** Injects planned faults into a site and ends them. */
import type { FaultKind, PlannedFault } from './fault-plan.js';
import { FaultTimers } from './fault-timers.js';
import type { LoopbackSite } from './loopback-site.js';
import { MachineFaultInjectors } from './machine-faults.js';
import { NodeFaults } from './node-faults.js';
import { StateFaults } from './state-faults.js';

type InjectFault = (fault: PlannedFault) => void;

/** Injects the faults of a plan. Timers begin and end each fault; `stop` clears them. */
export class FaultInjector {
  private readonly timers = new FaultTimers();
  private readonly injectors: Record<FaultKind, InjectFault>;

  constructor(
    site: LoopbackSite,
    private readonly cancelRunningJobs: (count: number) => void,
  ) {
    const nodes = new NodeFaults(site, this.timers);
    this.injectors = {
      ...nodes.injectors(),
      ...new StateFaults(site, this.timers, nodes).injectors(),
      ...new MachineFaultInjectors(site, this.timers, nodes).injectors(),
    };
  }

  start(plan: PlannedFault[]): void {
    for (const fault of plan) {
      this.timers.after(fault.at, () => {
        this.injectors[fault.kind](fault);
        this.cancelRunningJobs(fault.cancels);
      });
    }
  }

  stop(): void {
    this.timers.clear();
  }
}
