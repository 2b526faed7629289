/** What is free on machines, and which of them may take a task. */
import type { Duration, Instant, JobSpec, MachineType } from '@tealdock/wire';
import {
  bookedShare,
  chooseVolunteer,
  fits,
  subtractResources,
  resourcesOf,
  placeAllowed,
  addResources,
  taskSlots,
  type Resources,
  type Volunteer,
  type ZoneCounts,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';

/** Room on one machine while a cycle goes on. */
export interface MachineCapacity {
  machine: Machine;
  type: MachineType;
  free: Resources;
  /** Free once all that is being stopped is gone, less what higher work waits for. */
  freeAfterStops: Resources;
}

export const capacityOf = (machine: Machine, type: MachineType): MachineCapacity => {
  const free = machine.free(type);
  machine.applyType(type);
  return { machine, type, free, freeAfterStops: addResources(free, machine.usage.stopping) };
};

/** What a job's tasks ask of a machine; jobs that ask the same fit on the same machines. */
export function demandOf(job: LiveJob): string {
  const { cpus, gpus, memoryGb, types, zone, spot, oneZone, spread, kind } = job.spec;
  const own = oneZone || spread || kind === 'gang' ? job.id : '';
  return `${cpus} ${gpus} ${memoryGb} ${types?.join(',') ?? '*'} ${zone ?? '*'} ${spot} ${own}`;
}

/** The machines on which tasks of a job may be placed, by its type, zone and kind. */
export function allowedMachines(
  job: LiveJob,
  machines: MachineCapacity[],
  zones: ZoneCounts,
): MachineCapacity[] {
  const gangZone = job.bindings.size > 0 ? null : job.placement.gangZone;
  return machines.filter(
    (d) =>
      placeAllowed(job.spec, d.machine, zones) &&
      (gangZone === null || d.machine.zone === gangZone),
  );
}

/** Machines that hold the image of a job, free or not; looked for once, when first needed. */
export class ImageHolders {
  private found: MachineCapacity[] | null = null;
  private sum: number | null = null;

  constructor(
    private readonly job: LiveJob,
    private readonly cycle: { everywhere(job: LiveJob): MachineCapacity[] },
  ) {}

  get machines(): MachineCapacity[] {
    const { image } = this.job.spec;
    this.found ??= this.cycle.everywhere(this.job).filter((d) => d.machine.hasImage(image));
    return this.found;
  }

  /** How many of the job's tasks they could hold if they were empty. */
  get slots(): number {
    const wanted = resourcesOf(this.job.spec);
    this.sum ??= this.machines.reduce((sum, d) => sum + taskSlots(wanted, d.type), 0);
    return this.sum;
  }
}

interface Candidate extends Volunteer {
  capacity: MachineCapacity;
}

/**
 * When other fetches make a machine no volunteer: they make the task's own this many times
 * as long, and longer than this. Small images would find no machine without the latter.
 */
export interface FetchLimits {
  slowdown: number;
  patience: Duration;
}

/** How soon machines would have the image of one job. */
export class ImageRanks {
  constructor(
    private readonly spec: JobSpec,
    private readonly now: Instant,
    /** Fetches at the same time share a machine's rate. */
    private readonly shared: boolean,
    private readonly limits: FetchLimits,
  ) {}

  /** Null if the image would come too late for the machine to be a volunteer. */
  of({ machine, type }: MachineCapacity): number | null {
    const { image, imageGb } = this.spec;
    if (machine.hasImage(image)) return 0;
    if (machine.usage.awaitedImages.size === 0) return 2;
    const delay = this.delay(machine);
    const slowdown = delay / soloFetch(imageGb, type);
    const fetchingIt = machine.usage.awaitedImages.has(image);
    if (fetchingIt && slowdown <= 1) return 1;
    const soonEnough = delay <= this.limits.patience || slowdown <= this.limits.slowdown;
    return soonEnough ? 2 + Math.floor(slowdown) : null;
  }

  delay(machine: Machine): Duration {
    const { image, imageGb } = this.spec;
    return machine.imageDelay(image, imageGb, this.shared, this.now);
  }
}

/** What a fetch takes on a machine that fetches nothing else. */
function soloFetch(imageGb: number, type: MachineType): Duration {
  return Math.max(1, (imageGb / Math.max(0.01, type.fetchGbPerS)) * 1000);
}

/** How volunteers for the tasks of one job are compared. */
export interface VolunteerRules {
  ranks: ImageRanks;
  priceOf: (m: Machine, type: MachineType) => number;
  /** Work gathers on busy machines, so that other machines fall idle. */
  gathers: boolean;
}

/**
 * The volunteers for the tasks of one job. They are gathered once; a booking
 * changes one of them only, so the choice for the next task starts from there.
 */
export class Volunteers {
  private readonly candidates: Candidate[] = [];
  /** Machines with room, on which the image would come too late. */
  tooSlow = 0;

  constructor(
    private readonly job: LiveJob,
    machines: MachineCapacity[],
    private readonly rules: VolunteerRules,
  ) {
    const wanted = resourcesOf(job.spec);
    for (const capacity of machines) {
      if (!fits(wanted, capacity.free)) continue;
      const candidate = this.candidate(capacity);
      if (candidate) this.candidates.push(candidate);
      else this.tooSlow++;
    }
    if (rules.gathers) this.candidates.sort(byGathering);
  }

  /** Holders of the image first, then the first point of the front. */
  choose(): MachineCapacity | undefined {
    return chooseVolunteer(this.candidates)?.capacity;
  }

  /** A task was booked there. */
  booked(capacity: MachineCapacity): void {
    const wanted = resourcesOf(this.job.spec);
    capacity.free = subtractResources(capacity.free, wanted);
    capacity.freeAfterStops = subtractResources(capacity.freeAfterStops, wanted);
    const at = this.candidates.findIndex((c) => c.capacity === capacity);
    this.candidates.splice(at, 1);
    if (!fits(wanted, capacity.free)) return;
    const changed = this.candidate(capacity);
    if (changed) this.candidates.splice(this.placeFor(changed, at), 0, changed);
    else this.tooSlow++;
  }

  private placeFor(changed: Candidate, from: number): number {
    if (!this.rules.gathers) return from;
    const before = this.candidates.slice(0, from);
    return before.findLastIndex((candidate) => byGathering(changed, candidate) >= 0) + 1;
  }

  private candidate(capacity: MachineCapacity): Candidate | null {
    const { machine, type, free } = capacity;
    const imageRank = this.rules.ranks.of(capacity);
    if (imageRank === null) return null;
    return {
      capacity,
      bookedShare: bookedShare(type, free),
      price: this.rules.priceOf(machine, type),
      recentComputeTime: machine.usage.recentComputeTime / Math.max(1, type.cpus),
      imageRank,
    };
  }
}

/** What adds least to the bill first, then the fullest: work gathers and machines fall idle. */
const byGathering = (a: Volunteer, b: Volunteer): number =>
  a.price - b.price || b.bookedShare - a.bookedShare;
