/** Hints that a leader gives its successor beyond the stored state; a term works without them. */
import type { Hints } from '@tealdock/wire';
import type { Term } from './term.js';

/** Returns the statistics and image locations that the state service does not store. */
export function collectHints(term: Term): Hints {
  const images = new Map<string, { index: number; gb: number }>();
  const machines = [...term.machines.values()].map((machine) => {
    const held: number[] = [];
    for (const [image, gb] of machine.imageEntries()) {
      const entry = images.get(image) ?? { index: images.size, gb };
      images.set(image, entry);
      held.push(entry.index);
    }
    return { id: machine.id, held };
  });
  return {
    ratios: term.runTimeRatios.entries().map(([jobClass, ratio]) => ({ jobClass, ratio })),
    images: [...images].map(([image, { gb }]) => ({ image, gb })),
    machines: machines.filter(({ held }) => held.length > 0),
    fetchSharing: term.fetchSharing.sharingProbability,
  };
}

/** Initializes a new term with the hints of the previous leader. */
export function applyHints(hints: Hints, term: Term): void {
  for (const { jobClass, ratio } of hints.ratios) term.runTimeRatios.restore(jobClass, ratio);
  term.fetchSharing.restore(hints.fetchSharing);
  for (const { id, held } of hints.machines) {
    const images = held.map((index) => hints.images[index]).filter((i) => i !== undefined);
    term.machineRegistry.setImageHints(id, images);
  }
}
