/** A machine as the leader knows it. */
import type { Duration, Instant, MachineType, TaskStatus, WorkerHeartbeat } from '@tealdock/wire';
import type { Binding } from '../jobs/binding.js';
import { Fetches } from './image-fetches.js';
import {
  NO_RESOURCES,
  subtractResources,
  addResources,
  type Place,
  type Resources,
} from '@tealdock/scheduler';

const RECENT_WINDOW = 300_000;

/** What the bindings of a machine come to; made anew after a change. */
interface Summary {
  used: Resources;
  /** The part of it that is being stopped. */
  stopping: Resources;
  /** Images that tasks on the machine, or on their way there, still wait for, by size. */
  fetching: Map<string, number>;
}

/** One machine as the leader knows it in this term. */
export class Machine implements Place {
  readonly bindings = new Map<string, Binding>();
  /** Exited tasks in the newest counted report. */
  exitedTasks: TaskStatus[] = [];
  address = '';
  agentEpoch = 0;
  sequenceNumber = -1;
  /** Arrival of the newest report that was answered with 200 in this term. */
  lastLeaseRenewalAt: Instant | null = null;
  lastHeartbeatAt: Instant | null = null;
  /** First answered in this term, while its reports still carried an older token. */
  firstLeaseRenewalAt: Instant | null = null;
  /** Its tasks are known in this term, or it is proven to have none of older terms. */
  reconciled = false;
  /** The machine registry has it; no start goes out before. */
  registered = false;
  returning = false;
  returnCommitted = false;
  preemptionDeadline: Instant | null = null;
  idleSince: Instant | null = null;
  consecutiveFailures = 0;
  /** Starts in a row that never showed up: answers seem not to reach it. */
  consecutiveLostStarts = 0;
  quarantinedUntil: Instant = 0;
  recentComputeTime = 0;
  /** First known to be there, on this process's steady clock. */
  firstSeenAt: Instant = Infinity;
  /** Images it should hold and their size, the least recently used first. */
  readonly images = new Map<string, number>();
  /** What its cache takes; known once its type is. */
  cacheGb = Infinity;
  readonly fetches = new Fetches();
  private summary: Summary | null = null;

  constructor(
    readonly id: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {}

  /** True for a report newer than any counted one. */
  isNewer(report: WorkerHeartbeat): boolean {
    if (report.agentEpoch !== this.agentEpoch) return report.agentEpoch > this.agentEpoch;
    return report.sequenceNumber > this.sequenceNumber;
  }

  /** To be called by the owner of the bindings after any change of them. */
  invalidateSums(): void {
    this.summary = null;
  }

  get used(): Resources {
    return this.sums.used;
  }

  get stopping(): Resources {
    return this.sums.stopping;
  }

  get fetching(): ReadonlyMap<string, number> {
    return this.sums.fetching;
  }

  free(type: MachineType): Resources {
    return subtractResources(type, this.used);
  }

  private get sums(): Summary {
    this.summary ??= this.sumUp();
    return this.summary;
  }

  private sumUp(): Summary {
    let [used, stopping] = [NO_RESOURCES, NO_RESOURCES];
    const fetching = new Map<string, number>();
    for (const binding of this.bindings.values()) {
      used = addResources(used, binding.resources);
      if (binding.stopRequest) stopping = addResources(stopping, binding.resources);
      const { image } = binding;
      if (binding.mayNeedImageFetch && image !== null && !this.images.has(image)) {
        fetching.set(image, binding.imageGb);
      }
    }
    return { used, stopping, fetching };
  }

  /** Used there just now; what was used the longest ago makes room for it. */
  recordImage(image: string, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    let held = 0;
    for (const size of this.images.values()) held += size;
    for (const [oldest, size] of this.images) {
      if (held <= this.cacheGb || oldest === image) break;
      this.images.delete(oldest);
      held -= size;
    }
    this.invalidateSums();
  }

  /** A start left for it: unless it has the image, it fetches it now. */
  recordStartDispatched(binding: Binding, now: Instant): void {
    const { image, imageGb } = binding;
    if (image !== null && !this.images.has(image)) this.fetches.begin(image, imageGb, now);
  }

  /** It says that it fetches what it was taken to hold. */
  recordImageMissing(binding: Binding, now: Instant): void {
    if (binding.image === null || !this.images.delete(binding.image)) return;
    this.fetches.begin(binding.image, binding.imageGb, now);
    this.invalidateSums();
  }

  /** How long one more task would wait for its image. */
  imageDelay(image: string, gb: number, shared: boolean, now: Instant): Duration {
    if (this.images.has(image)) return 0;
    return this.fetches.delay(image, gb, this.fetching, shared, now);
  }

  /** Recent accumulated computing time, fading over some minutes. */
  accumulateComputeTime(elapsed: number): void {
    this.recentComputeTime =
      this.recentComputeTime * Math.exp(-elapsed / RECENT_WINDOW) + this.used.cpus * elapsed;
  }
}

/** Capacity of a machine by the catalog; nothing is placed on an unknown type. */
export function machineTypeOf(types: MachineType[], machine: Machine): MachineType | undefined {
  for (const t of types) if (t.name === machine.type) return t;
  return undefined;
}
