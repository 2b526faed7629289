/** Images that a machine should have, as the leader infers it from what ran there. */

/** Evicts what was used the longest ago, as the machine is taken to do. */
export class ImageCache {
  /** Sizes in GB by image, the least recently used first. */
  private readonly sizes = new Map<string, number>();
  /** Unlimited until the machine's type is known. */
  private capacityGb = Infinity;

  /** Takes effect when the next image is recorded. */
  setCapacity(capacityGb: number): void {
    this.capacityGb = capacityGb;
  }

  /** True if the machine should have the image. */
  has(image: string): boolean {
    return this.sizes.has(image);
  }

  /** Images with their sizes in GB, the least recently used first. */
  entries(): Iterable<[image: string, sizeGb: number]> {
    return this.sizes;
  }

  /** The image was used just now; others are evicted until all fit. */
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

  /** The machine lacks the image. False if that was known. */
  remove(image: string): boolean {
    return this.sizes.delete(image);
  }
}
