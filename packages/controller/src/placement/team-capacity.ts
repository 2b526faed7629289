/** What teams use of their guarantees and limits while a cycle goes on. */
import type { MachineType } from '@tealdock/wire';
import {
  NO_RESOURCES,
  resourcesOf,
  addResources,
  withinTeamQuota,
  type Resources,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import { machineTypeOf } from '../machines/machine.js';
import type { Term } from '../term/term.js';

/** Counts all that is bound, and what this cycle has reserved (docs/safety.md, rule `quota`). */
export class TeamCapacity {
  /** Capacity that will be free and is kept for a team's tasks in this cycle. */
  private readonly reservedByTeam = new Map<string, Resources>();
  /** Machines not accounted for may be full of any team's tasks. */
  private unaccounted: Resources = NO_RESOURCES;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly types: () => MachineType[],
  ) {}

  /** Forgets the reservations of the cycle before. */
  beginCycle(): void {
    this.reservedByTeam.clear();
  }

  /** Takes in what may run on machines that are not accounted for. */
  updateUnaccounted(): void {
    this.unaccounted = this.sumUnaccounted();
  }

  /** Capacity was reserved for one task of the job. */
  reserve(job: LiveJob): void {
    const reserved = this.reservedByTeam.get(job.spec.team) ?? NO_RESOURCES;
    this.reservedByTeam.set(job.spec.team, addResources(reserved, resourcesOf(job.spec)));
  }

  belowGuarantee(job: LiveJob): boolean {
    const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
    if (!team) return false;
    const promised = this.reservedByTeam.get(team.name) ?? NO_RESOURCES;
    const after = addResources(
      addResources(this.term.ledger.usageOf(team.name), promised),
      resourcesOf(job.spec),
    );
    return after.cpus <= team.cpus && after.gpus <= team.gpus;
  }

  withinTeamLimit(job: LiveJob): boolean {
    const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
    return !!team && withinTeamQuota(team, this.limitUse(team.name), resourcesOf(job.spec));
  }

  limitUse(team: string): Resources {
    return addResources(this.term.ledger.usageOf(team), this.unaccounted);
  }

  private sumUnaccounted(): Resources {
    let sum = NO_RESOURCES;
    for (const machine of this.term.unreconciledMachines()) {
      const type = machineTypeOf(this.types(), machine);
      sum = addResources(sum, type ?? { cpus: Infinity, gpus: Infinity, memoryGb: 0 });
    }
    return sum;
  }
}
