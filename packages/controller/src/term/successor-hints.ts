/** What a leader tells its successor. */
import type { Hints } from '@tealdock/wire';
import type { Term } from './term.js';

/** What this term has learnt that a successor can't read anywhere. */
export function hintsOf(term: Term): Hints {
  const images = new Map<string, { at: number; gb: number }>();
  const machines = [...term.machines.values()].map((machine) => {
    const held: number[] = [];
    for (const [image, gb] of machine.imageEntries()) {
      const known = images.get(image) ?? { at: images.size, gb };
      images.set(image, known);
      held.push(known.at);
    }
    return { id: machine.id, held };
  });
  return {
    ratios: [...term.runTimeRatios].map(([jobClass, ratio]) => ({ jobClass, ratio })),
    images: [...images].map(([image, { gb }]) => ({ image, gb })),
    machines: machines.filter((m) => m.held.length > 0),
    fetchSharing: term.fetchSharing.sharingProbability,
  };
}

/** Starts a term from what the last leader had learnt. */
export function useHints(hints: Hints, term: Term): void {
  for (const { jobClass, ratio } of hints.ratios) term.runTimeRatios.set(jobClass, ratio);
  term.fetchSharing.restore(hints.fetchSharing);
  for (const { id, held } of hints.machines) {
    const images = held.map((at) => hints.images[at]).filter((i) => i !== undefined);
    term.hintedImages.set(id, images);
  }
}
