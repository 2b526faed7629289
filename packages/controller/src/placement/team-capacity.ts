/** Usage of the guarantees and limits of teams, updated during a cycle. */
import type { Team } from '@tealdock/wire';
import {
  NO_RESOURCES,
  addResources,
  isWithinTeamQuota,
  machineResources,
  resourcesOf,
  type Resources,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import { machineTypeOf, type Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { MachineTypes } from './fleet-policy.js';

/** Upper bound of the resources that tasks may use on a machine of unknown type. */
const UNKNOWN_TYPE_RESOURCES: Resources = { ...NO_RESOURCES, cpus: Infinity, gpus: Infinity };

/**
 * Compares the resources of a team's bindings with its guarantee and its limit. Resources
 * that this cycle has reserved count towards the guarantee; resources that tasks may use on
 * machines that are not reconciled count towards the limit (docs/safety.md, rule `quota`).
 */
export class TeamCapacity {
  /** Resources that this cycle has reserved, by team. */
  private readonly reserved = new Map<string, Resources>();
  /** Sum over the machines that are not reconciled: any team's tasks may fill them. */
  private unreconciledResources: Resources = NO_RESOURCES;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
  ) {}

  /** Clears the reservations of the previous cycle. */
  beginCycle(): void {
    this.reserved.clear();
  }

  /** Recomputes how much may run on machines that are not reconciled. */
  refreshUnreconciled(): void {
    this.unreconciledResources = this.term
      .unreconciledMachines()
      .map((machine) => this.resourcesOfMachine(machine))
      .reduce(addResources, NO_RESOURCES);
  }

  /** Records that capacity was reserved for one task of the job. */
  reserve(job: LiveJob): void {
    const { team } = job.spec;
    this.reserved.set(team, addResources(this.reservedFor(team), resourcesOf(job.spec)));
  }

  /** Whether the job's team would stay within its guarantee with one more task of the job. */
  isBelowGuarantee(job: LiveJob): boolean {
    const team = this.teamOf(job);
    if (!team) return false;
    const used = addResources(this.term.ledger.usageOf(team.name), this.reservedFor(team.name));
    const after = addResources(used, resourcesOf(job.spec));
    return after.cpus <= team.cpus && after.gpus <= team.gpus;
  }

  /** Whether the job's team would stay within its limit with one more task of the job. */
  hasCapacityFor(job: LiveJob): boolean {
    return this.isWithinLimit(job, resourcesOf(job.spec));
  }

  /** Whether the job's team would stay within its limit with the requested resources added. */
  isWithinLimit(job: LiveJob, requested: Resources): boolean {
    const team = this.teamOf(job);
    if (!team) return false;
    const used = addResources(this.term.ledger.usageOf(team.name), this.unreconciledResources);
    return isWithinTeamQuota(team, used, requested);
  }

  private resourcesOfMachine(machine: Machine): Resources {
    const type = machineTypeOf(this.catalog.types, machine);
    return type ? machineResources(type, machine.zone) : UNKNOWN_TYPE_RESOURCES;
  }

  private reservedFor(team: string): Resources {
    return this.reserved.get(team) ?? NO_RESOURCES;
  }

  private teamOf(job: LiveJob): Team | undefined {
    return this.runtime.settings.teams.find(({ name }) => name === job.spec.team);
  }
}
