/** A machine as the leader knows it in one term. */
import {
  MAX_BODY_BYTES,
  taskBytesOfNewMachine,
  type Duration,
  type Instant,
  type MachineType,
} from '@tealdock/wire';
import type { MachinePool, Resources } from '@tealdock/scheduler';
import type { Binding } from '../jobs/binding.js';
import { ImageCache } from './image-cache.js';
import { ImageFetches, type ImageFetch } from './image-fetches.js';
import { MachineHealth } from './machine-health.js';
import { MachineHeartbeats } from './machine-heartbeats.js';
import { MachineRegistration } from './machine-registration.js';
import { MachineUsage } from './machine-usage.js';
import { SentStarts } from './sent-starts.js';

/** One machine. Each concern has an object of its own; images and fetches are combined here. */
export class Machine implements MachinePool {
  readonly heartbeats: MachineHeartbeats;
  readonly registration = new MachineRegistration();
  readonly health = new MachineHealth();
  readonly usage: MachineUsage;
  readonly sentStarts = new SentStarts();
  private readonly images = new ImageCache();
  private readonly fetches = new ImageFetches();

  constructor(
    readonly id: string,
    readonly type: string,
    readonly zone: string,
    /** Whether it is a spot machine, which the cloud may preempt at short notice. */
    readonly spot: boolean,
  ) {
    this.heartbeats = new MachineHeartbeats(taskBytesOfNewMachine(type, zone));
    this.usage = new MachineUsage((image) => this.images.has(image));
  }

  /** Bindings by `bindingKey`, in the order in which they were bound. */
  get bindings(): ReadonlyMap<string, Binding> {
    return this.usage.bindings;
  }

  /** Adds a binding; to be called only by the term's `Bindings`. */
  bind(binding: Binding): void {
    this.usage.add(binding);
  }

  /** Removes a binding, false if it was not here; to be called only by the term's `Bindings`. */
  unbind(binding: Binding, now: Instant): boolean {
    if (!this.usage.remove(binding)) return false;
    this.fetches.retain(this.usage.awaitedImages, now);
    return true;
  }

  /** Applies the type's image cache size and fetch rate. */
  applyType(type: MachineType): void {
    this.images.setCapacity(type.cacheGb);
    this.fetches.setRate(type.fetchGbPerS);
  }

  /** True if the machine is expected to hold the image. */
  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** Images that it is expected to hold, with sizes in GB, the least recently used first. */
  imageEntries(): Iterable<[image: string, sizeGb: number]> {
    return this.images.entries();
  }

  /** Records a use of the image on this machine. */
  recordImageUse(image: string, sizeGb: number): void {
    this.images.recordUse(image, sizeGb);
    this.usage.invalidate();
  }

  /**
   * Records that a task runs with the image. Returns the completed fetch; undefined if no fetch of
   * the image had been started.
   */
  recordImageFetched(
    image: string,
    sizeGb: number,
    now: Instant,
  ): Readonly<ImageFetch> | undefined {
    const fetch = this.fetches.complete(image, now);
    this.recordImageUse(image, sizeGb);
    return fetch;
  }

  /** Records a dispatched start, which starts a fetch unless the machine holds the image. */
  recordStartDispatched({ image, imageGb }: Binding, now: Instant): void {
    if (image !== null && !this.hasImage(image)) this.fetches.start(image, imageGb, now);
  }

  /** Records that a heartbeat shows a fetch of the image, even if the machine should hold it. */
  recordImageMissing({ image, imageGb }: Binding, now: Instant): void {
    if (image === null || !this.images.remove(image)) return;
    this.fetches.start(image, imageGb, now);
    this.usage.invalidate();
  }

  /** How long one more task would wait for the image; 0 if the machine holds it. */
  imageDelay(image: string, sizeGb: number, isRateShared: boolean, now: Instant): Duration {
    if (this.hasImage(image)) return 0;
    const awaited = this.usage.awaitedImages;
    return this.fetches.delayOf({ image, sizeGb, awaited, isRateShared, now });
  }

  /** Whether its heartbeats may exceed the size limit, so that it has more tasks than it should. */
  get exceedsHeartbeat(): boolean {
    return this.usage.used.heartbeatBytes > this.heartbeats.taskBytes;
  }

  /** Whether tasks, exited ones included, leave less than half of its heartbeats to further ones. */
  get isHeartbeatCrowded(): boolean {
    return this.heartbeats.taskBytes - this.usage.used.heartbeatBytes < MAX_BODY_BYTES / 2;
  }

  /** Resources that no bound task uses, and no exited one that the worker has yet to forget. */
  free(type: MachineType): Resources {
    const { cpus, gpus, memoryGb } = type;
    return this.usage.free({ cpus, gpus, memoryGb, heartbeatBytes: this.heartbeats.taskBytes });
  }
}

/** The machine's type in the catalog; undefined if unknown, so that nothing is placed on it. */
export function machineTypeOf(types: MachineType[], machine: Machine): MachineType | undefined {
  return types.find((type) => type.name === machine.type);
}
