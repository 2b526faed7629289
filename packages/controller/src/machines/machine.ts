/** A machine as the leader knows it in one term. */
import type { Duration, Instant, MachineType } from '@tealdock/wire';
import type { MachinePool, Resources } from '@tealdock/scheduler';
import type { Binding } from '../jobs/binding.js';
import { ImageCache } from './image-cache.js';
import { ImageFetches, type ImageFetch } from './image-fetches.js';
import { MachineHealth } from './machine-health.js';
import { MachineHeartbeats } from './machine-heartbeats.js';
import { MachineRegistration } from './machine-registration.js';
import { MachineUsage } from './machine-usage.js';

/** One machine; each concern has an object of its own, images and their fetches are here. */
export class Machine implements MachinePool {
  readonly heartbeats = new MachineHeartbeats();
  readonly registration = new MachineRegistration();
  readonly health = new MachineHealth();
  readonly usage: MachineUsage;
  private readonly images = new ImageCache();
  private readonly fetches = new ImageFetches();

  constructor(
    readonly id: string,
    readonly type: string,
    readonly zone: string,
    /** The cloud may take it away after a short notice. */
    readonly spot: boolean,
  ) {
    this.usage = new MachineUsage((image) => this.images.has(image));
  }

  /** By `bindingKey`, in the order in which they were bound. */
  get bindings(): ReadonlyMap<string, Binding> {
    return this.usage.bindings;
  }

  /** To be called by the term's bindings only. */
  bind(binding: Binding): void {
    this.usage.add(binding);
  }

  /** To be called by the term's bindings only. False if it was not bound here. */
  unbind(binding: Binding, now: Instant): boolean {
    if (!this.usage.remove(binding)) return false;
    this.fetches.retain(this.usage.awaitedImages, now);
    return true;
  }

  /** Takes over the size of its image cache and its fetch rate. */
  applyType(type: MachineType): void {
    this.images.setCapacity(type.cacheGb);
    this.fetches.setRate(type.fetchGbPerS);
  }

  /** True if the machine should have the image. */
  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** Images that it should have, with their sizes in GB, the least recently used first. */
  imageEntries(): Iterable<[image: string, sizeGb: number]> {
    return this.images.entries();
  }

  /** The image was used there just now. */
  recordImageUse(image: string, sizeGb: number): void {
    this.images.recordUse(image, sizeGb);
    this.usage.invalidate();
  }

  /**
   * A task runs with the image. Returns its fetch as it ended; undefined if that was not seen
   * from its start.
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

  /** A start was dispatched to it: a fetch starts, unless it has the image. */
  recordStartDispatched({ image, imageGb }: Binding, now: Instant): void {
    if (image !== null && !this.hasImage(image)) this.fetches.start(image, imageGb, now);
  }

  /** A heartbeat shows that it fetches the image; it may have been thought to have it. */
  recordImageMissing({ image, imageGb }: Binding, now: Instant): void {
    if (image === null || !this.images.remove(image)) return;
    this.fetches.start(image, imageGb, now);
    this.usage.invalidate();
  }

  /** How long one more task would wait for its image. */
  imageDelay(image: string, sizeGb: number, isRateShared: boolean, now: Instant): Duration {
    if (this.hasImage(image)) return 0;
    const awaited = this.usage.awaitedImages;
    return this.fetches.delayOf({ image, sizeGb, awaited, isRateShared, now });
  }

  /** Resources that no task takes. */
  free(type: MachineType): Resources {
    return this.usage.free(type);
  }
}

/** The machine's type in the catalog. Undefined if it is unknown: nothing is placed on it. */
export function machineTypeOf(types: MachineType[], machine: Machine): MachineType | undefined {
  return types.find((type) => type.name === machine.type);
}
