/** Images that a machine is expected to hold, inferred by the leader from the tasks run there. */

/** Model of a machine's image cache, which is assumed to evict the least recently used image. */
export class ImageCache {
  /** Sizes in GB by image, the least recently used first. */
  private readonly sizes = new Map<string, number>();
  /** Unlimited until the machine's type is known. */
  private capacityGb = Infinity;

  /** Sets the capacity, which takes effect at the next use of an image. */
  setCapacity(capacityGb: number): void {
    this.capacityGb = capacityGb;
  }

  /** True if the machine is expected to hold the image. */
  has(image: string): boolean {
    return this.sizes.has(image);
  }

  /** Images with their sizes in GB, the least recently used first. */
  entries(): Iterable<[image: string, sizeGb: number]> {
    return this.sizes;
  }

  /** Records a use of the image, and evicts others until all fit. */
  recordUse(image: string, sizeGb: number): void {
    this.sizes.delete(image);
    this.sizes.set(image, sizeGb);
    let usedGb = 0;
    for (const size of this.sizes.values()) usedGb += size;
    for (const [oldest, size] of this.sizes) {
      if (usedGb <= this.capacityGb || oldest === image) break;
      this.sizes.delete(oldest);
      usedGb -= size;
    }
  }

  /** Removes an image that the machine turned out to lack; false if it was not expected there. */
  remove(image: string): boolean {
    return this.sizes.delete(image);
  }
}
