/** The volunteers, that is the candidate machines, for the tasks of one job. */
import {
  allocatedFraction,
  chooseVolunteer,
  fits,
  resourcesOf,
  subtractResources,
  type Resources,
  type Volunteer,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { FleetPolicy } from './fleet-policy.js';
import type { ImageRanks } from './image-availability.js';
import type { MachineCapacity } from './machine-capacity.js';

interface VolunteerMachine extends Volunteer {
  capacity: MachineCapacity;
}

/** Inputs for the comparison of volunteers. */
export interface VolunteerRules {
  ranks: ImageRanks;
  fleetPolicy: FleetPolicy;
}

/**
 * The volunteers for the tasks of one job. The list is built once: an assignment changes only
 * the chosen volunteer, so only that entry is updated before the next choice.
 */
export class Volunteers {
  private readonly volunteers: VolunteerMachine[] = [];
  private readonly requested: Resources;
  private readonly shouldConsolidate: boolean;
  /** Number of machines on which a task fits, but its image would be available too late. */
  tooSlowCount = 0;

  constructor(
    job: LiveJob,
    machines: MachineCapacity[],
    private readonly rules: VolunteerRules,
  ) {
    this.requested = resourcesOf(job.spec);
    this.shouldConsolidate = rules.fleetPolicy.shouldConsolidate();
    for (const capacity of machines) {
      if (!fits(this.requested, capacity.free)) continue;
      const volunteer = this.toVolunteer(capacity);
      if (volunteer) this.volunteers.push(volunteer);
      else this.tooSlowCount++;
    }
    if (this.shouldConsolidate) this.volunteers.sort(compareForConsolidation);
  }

  /** The machine of the best volunteer; undefined if there are none. */
  choose(): MachineCapacity | undefined {
    return chooseVolunteer(this.volunteers)?.capacity;
  }

  /** Subtracts the resources of an assigned task and updates the machine's volunteer entry. */
  recordAssignment(capacity: MachineCapacity): void {
    capacity.free = subtractResources(capacity.free, this.requested);
    capacity.freeAfterStops = subtractResources(capacity.freeAfterStops, this.requested);
    const index = this.volunteers.findIndex((volunteer) => volunteer.capacity === capacity);
    this.volunteers.splice(index, 1);
    if (!fits(this.requested, capacity.free)) return;
    const changed = this.toVolunteer(capacity);
    if (changed) this.volunteers.splice(this.insertionIndex(changed, index), 0, changed);
    else this.tooSlowCount++;
  }

  /** Position that keeps the list sorted: a fuller machine can only move towards the start. */
  private insertionIndex(changed: VolunteerMachine, previousIndex: number): number {
    if (!this.shouldConsolidate) return previousIndex;
    const before = this.volunteers.slice(0, previousIndex);
    return before.findLastIndex((other) => compareForConsolidation(changed, other) >= 0) + 1;
  }

  private toVolunteer(capacity: MachineCapacity): VolunteerMachine | null {
    const { machine, type, free } = capacity;
    const imageRank = this.rules.ranks.rankOf(capacity);
    if (imageRank === null) return null;
    return {
      capacity,
      allocatedFraction: allocatedFraction(type, free),
      marginalPrice: this.rules.fleetPolicy.marginalPrice(machine, type),
      recentComputeTime: machine.usage.recentComputeTime / Math.max(1, type.cpus),
      imageRank,
    };
  }
}

/** Orders by marginal price, lowest first, then by allocated fraction, fullest first. */
const compareForConsolidation = (a: Volunteer, b: Volunteer): number =>
  a.marginalPrice - b.marginalPrice || b.allocatedFraction - a.allocatedFraction;
