/** Whether something that a job needs was cancelled. */
import type { Duration, Instant } from '@tealdock/wire';
import type { JobLookup } from './job-lookup.js';
import type { Runtime } from '../runtime/runtime.js';
import { BoundedMap } from '../runtime/bounded.js';

/** `unsure`: it can't be told yet; what was learnt is kept, so that asking again helps. */
export type Verdict = 'clear' | 'cancelled' | 'unsure';

/** Jobs before one that a question may cost: read anew, and compared with known versions. */
const MOST_READS = 40;
const MOST_PROOFS = 400;
/** A job that was live this long ago needs no new proof, and never for a third of the limit. */
const USUAL_LIFE = 15_000;
const LIFE_PART = 3;
const MOST_KEPT = 5000;

/** Jobs before one that have to be asked about. */
interface Unproven {
  known: string[];
  unread: string[];
  cancelled: boolean;
}

/**
 * Whether any job that a live one needs, directly or through others, was cancelled. Answers
 * come from their keys, on whichever node is asked. Questions share what they find: a job
 * that was proven live counts as not cancelled for a part of the time in which the end of
 * its dependents has to show.
 */
export class AncestorCheck {
  /** When jobs were last proven live. */
  private readonly liveAt = new BoundedMap<string, Instant>(MOST_KEPT);

  constructor(
    private readonly runtime: Runtime,
    private readonly jobs: Pick<JobLookup, 'finalState' | 'predecessorsOf' | 'locate'>,
  ) {}

  check(id: string, done: (verdict: Verdict) => void, reads = MOST_READS): void {
    const before = this.jobs.predecessorsOf(id);
    if (!before) return done('unsure');
    const { known, unread, cancelled } = this.unproven(before);
    if (cancelled) return done('cancelled');
    const asked = [...known.slice(0, MOST_PROOFS), ...unread.slice(0, reads)];
    const whole = asked.length === known.length + unread.length;
    if (asked.length === 0) return done('clear');
    this.locateAll(asked, (kinds) => {
      if (kinds.has('cancelled')) done('cancelled');
      else if (!whole || kinds.has('unsure') || kinds.has('none')) done('unsure');
      // What was read shows further jobs before those.
      else this.check(id, done, reads - unread.length);
    });
  }

  private locateAll(ids: string[], done: (kinds: Set<string>) => void): void {
    const kinds = new Set<string>();
    const asked = this.runtime.now;
    let left = ids.length;
    for (const id of ids) {
      this.jobs.locate(id, (known) => {
        kinds.add(known.kind === 'ended' ? known.view.state : known.kind);
        if (known.kind === 'live') this.liveAt.set(id, asked);
        if (--left === 0) done(kinds);
      });
    }
  }

  /** All that is known to come before a job, as far as it needs to be asked about. */
  private unproven(before: string[]): Unproven {
    const found: Unproven = { known: [], unread: [], cancelled: false };
    const seen = new Set<string>();
    const next = [...before];
    for (let p = next.pop(); p !== undefined; p = next.pop()) {
      if (seen.has(p)) continue;
      seen.add(p);
      const state = this.jobs.finalState(p);
      if (state === 'cancelled') found.cancelled = true;
      if (state !== undefined) continue;
      const further = this.jobs.predecessorsOf(p);
      if (further) next.push(...further);
      if (!further) found.unread.push(p);
      else if (!this.liveLately(p)) found.known.push(p);
    }
    return found;
  }

  private liveLately(id: string): boolean {
    const life: Duration = Math.min(
      USUAL_LIFE,
      this.runtime.settings.cancellationLimit / LIFE_PART,
    );
    return this.runtime.now - (this.liveAt.get(id) ?? -Infinity) <= life;
  }
}
