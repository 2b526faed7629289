/** Bindings of one machine, and sums over them. */
import type { Duration, Instant } from '@tealdock/wire';
import { NO_RESOURCES, subtractResources, addResources, type Resources } from '@tealdock/scheduler';
import { bindingKey, type Binding } from '../jobs/binding.js';

/** Time constant of the exponential decay of past compute time. */
const COMPUTE_TIME_DECAY_MS: Duration = 300_000;

/** Sums over the bindings of a machine. */
interface UsageSums {
  readonly used: Resources;
  readonly stopping: Resources;
  readonly awaitedImages: ReadonlyMap<string, number>;
}

/** Bindings of one machine and their sums, which are cached until `invalidate` is called. */
export class MachineUsage {
  private readonly byKey = new Map<string, Binding>();
  private cachedSums: UsageSums | null = null;
  private decayedComputeTime = 0;
  private unboundSince: Instant | null = null;

  constructor(private readonly hasImage: (image: string) => boolean) {}

  /** Bindings by `bindingKey`, in the order in which they were bound. */
  get bindings(): ReadonlyMap<string, Binding> {
    return this.byKey;
  }

  /** Resources of all tasks that are on the machine or assigned to it. */
  get used(): Resources {
    return this.sums.used;
  }

  /** The part of `used` that belongs to tasks being stopped. */
  get stopping(): Resources {
    return this.sums.stopping;
  }

  /** Images that tasks on the machine or assigned to it still wait for, with sizes in GB. */
  get awaitedImages(): ReadonlyMap<string, number> {
    return this.sums.awaitedImages;
  }

  /** CPU-milliseconds used, with a weight that decays over some minutes. */
  get recentComputeTime(): number {
    return this.decayedComputeTime;
  }

  /** When the machine became idle, that is without bindings; null while it has some. */
  get idleSince(): Instant | null {
    return this.unboundSince;
  }

  add(binding: Binding): void {
    this.byKey.set(bindingKey(binding.task, binding.attempt), binding);
    this.invalidate();
  }

  /** Removes a binding; false if there was no such binding. */
  remove(binding: Binding): boolean {
    if (!this.byKey.delete(bindingKey(binding.task, binding.attempt))) return false;
    this.invalidate();
    return true;
  }

  /** To be called after a binding or the machine's images have changed. */
  invalidate(): void {
    this.cachedSums = null;
  }

  /** The part of the machine's total resources that no bound task uses. */
  free(total: Resources): Resources {
    return subtractResources(total, this.used);
  }

  /** Adds the compute time of the interval since the last call. */
  accumulateComputeTime(elapsed: Duration): void {
    const decay = Math.exp(-elapsed / COMPUTE_TIME_DECAY_MS);
    this.decayedComputeTime = this.decayedComputeTime * decay + this.used.cpus * elapsed;
  }

  /** Updates `idleSince`; to be called at regular intervals, which limit its precision. */
  updateIdle(now: Instant): void {
    this.unboundSince = this.byKey.size === 0 ? (this.unboundSince ?? now) : null;
  }

  private get sums(): UsageSums {
    this.cachedSums ??= this.sumUp();
    return this.cachedSums;
  }

  private sumUp(): UsageSums {
    let used = NO_RESOURCES;
    let stopping = NO_RESOURCES;
    const awaitedImages = new Map<string, number>();
    for (const binding of this.byKey.values()) {
      used = addResources(used, binding.resources);
      if (binding.stopRequest) stopping = addResources(stopping, binding.resources);
      const { image, imageGb } = binding;
      if (binding.mayNeedImageFetch && image !== null && !this.hasImage(image)) {
        awaitedImages.set(image, imageGb);
      }
    }
    return { used, stopping, awaitedImages };
  }
}
