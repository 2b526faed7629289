/** Capacity that tasks without a fit wait for: it is reserved, or made by preemption. */
import type { Duration, Instant, MachineType } from '@tealdock/wire';
import { fits, subtractResources, resourcesOf } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { JobUrgency } from './job-urgency.js';
import type { ImageHolders, ImageRanks, MachineCapacity } from './machine-capacity.js';
import { Preemption } from './preemption.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { TeamCapacity } from './team-capacity.js';

/** What stopping a task and starting another in its place takes. */
const STOP_TIME = 4000;
/** Fetches run at their type's rate, give or take a third; a start takes a moment as well. */
const FETCH_SLACK = 4 / 3;
const START_TIME = 1000;
/** Room is scarce for so long after a task found none. */
const SCARCE_FOR = 10_000;
/** Part of a fetch's time that a holder is waited for. */
const HOLDER_PART = 1 / 4;
/** Plans for one job are made this far apart. */
const PREEMPTION_PLAN_INTERVAL = 500;

/** What the tasks of one job look for in a cycle. */
export interface Search {
  readonly job: LiveJob;
  readonly demand: string;
  readonly ranks: ImageRanks;
  holders: ImageHolders;
}

/** Decides what tasks wait for that could not be booked at once. */
export class CapacityReservation {
  /** When a task last found no room at all. */
  private lastFull: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly teams: TeamCapacity,
    private readonly urgency: JobUrgency,
    private readonly rentable: () => boolean,
  ) {}

  /** A task has found no room at all. */
  noteFull(): void {
    this.lastFull = this.runtime.now;
  }

  /** Reserves what will be free for the tasks, and preempts others where that is allowed. */
  reserve(search: Search, tasks: number, cycle: SchedulingCycle): void {
    const { job, ranks } = search;
    const machines = cycle.candidatesSoon(job);
    let preemption: Preemption | null = null;
    const wanted = resourcesOf(job.spec);
    const willDo = (d: MachineCapacity) => fits(wanted, d.freeAfterStops) && ranks.of(d) !== null;
    let at = 0;
    const nextMachine = () => {
      for (; at < machines.length; at++) {
        const machine = machines[at];
        if (machine && willDo(machine)) return machine;
      }
      return undefined;
    };
    for (let left = tasks; left > 0; left--) {
      const machine = nextMachine();
      if (machine) {
        this.keep(job, machine);
        continue;
      }
      if (!this.mayPreempt(job, preemption, cycle)) return;
      preemption ??= this.preemptionFor(search, cycle.everywhere(job), cycle);
      const made = preemption.freeOneSlot();
      if (!made) return;
      this.keep(job, made);
      preemption.planAgain(made);
    }
  }

  private mayPreempt(job: LiveJob, preemption: Preemption | null, cycle: SchedulingCycle): boolean {
    if (preemption) return true;
    if (!cycle.mayPlanPreemption || job.placement.nextPreemptionPlanAt > this.runtime.now)
      return false;
    if (!cycle.hasLowerWork(job) && !(cycle.hasOtherTeams(job) && this.urgency.reclaims(job)))
      return false;
    const waited = this.runtime.now - (job.placement.starvedSince ?? this.runtime.now);
    return !this.rentable() || waited >= this.urgency.patience(job);
  }

  private preemptionFor(
    { job, ranks }: Search,
    machines: MachineCapacity[],
    cycle: SchedulingCycle,
  ): Preemption {
    cycle.notePlan(machines.length);
    job.placement.nextPreemptionPlanAt = this.runtime.now + PREEMPTION_PLAN_INTERVAL;
    const reclaims = this.urgency.reclaims(job);
    const guaranteed = () => reclaims && this.teams.belowGuarantee(job);
    return new Preemption(this.runtime, this.term, job, guaranteed, machines, ranks);
  }

  /** Keeps what will be free on a machine for one task. */
  private keep(job: LiveJob, capacity: MachineCapacity): void {
    capacity.freeAfterStops = subtractResources(capacity.freeAfterStops, resourcesOf(job.spec));
    this.teams.reserve(job);
  }

  /**
   * A fetch would break the class's aim for starts, while a holder of the image
   * has or can be given room in time: then the task waits for the holder.
   */
  waitsForHolder(search: Search, chosen: MachineCapacity, cycle: SchedulingCycle): boolean {
    const { job, holders } = search;
    if (chosen.machine.hasImage(job.spec.image)) return false;
    const fetch = fetchTime(job.spec.imageGb, chosen.type);
    const left = this.urgency.aimFor(job) - (this.runtime.now - job.dependencies.startableAt);
    if (fetch < left || left < STOP_TIME) return false;
    const wanted = resourcesOf(job.spec);
    const coming = () => holders.machines.find((d) => fits(wanted, d.freeAfterStops));
    if (!coming() && this.mayPreempt(job, null, cycle)) {
      this.preemptionFor(search, holders.machines, cycle).freeOneSlot();
    }
    const holder = coming();
    if (holder) this.keep(job, holder);
    return holder !== undefined;
  }

  /**
   * Room is scarce, and holders of the image are busy, but there are enough of them:
   * for a part of the time that a fetch takes, the next room on one of them is worth
   * waiting for. Work whose image the other machines hold gets their room meanwhile.
   */
  holderMayCome({ job, holders }: Search, chosen: MachineCapacity): boolean {
    const { machine } = chosen;
    const { image, imageGb } = job.spec;
    if (machine.hasImage(image) || machine.usage.awaitedImages.has(image)) return false;
    // With room to spare, a start that fetches takes nothing from others.
    if (this.runtime.now - this.lastFull > SCARCE_FOR) return false;
    job.placement.imageHolderWaitSince ??= this.runtime.now;
    const fetch = fetchTime(imageGb, chosen.type);
    const window = Math.min(this.runtime.operator.window.lambda, fetch * HOLDER_PART);
    if (this.runtime.now - job.placement.imageHolderWaitSince >= window) return false;
    if (this.urgency.due(job) - this.runtime.now < fetch + window) return false;
    return holders.slots >= job.openTasks.count;
  }
}

/** Until when a task would run that has to wait for its image, at worst. */
function fetchTime(imageGb: number, type: MachineType): Duration {
  return (imageGb / Math.max(0.01, type.fetchGbPerS)) * 1000 * FETCH_SLACK + START_TIME;
}
