/** Which faults a soak injects, and when: planned ahead from its seed. */
import type { Random } from '@tealdock/controller';
import type { Duration } from '@tealdock/wire';
import { between, pick } from '../simulation/seeded-random.js';
import { NODES, TIMES, type NodeName } from './site-times.js';

/** Each names what is done in `fault-injector.ts`. */
const SHORT_KINDS = [
  'kill',
  'kill_and_back',
  'leaders_in_series',
  'kill_all',
  'pause',
  'pause_leader',
  'state_out',
  'state_cut',
  'state_watches_cut',
  'state_slow',
  'state_answers_lost',
  'state_commits_late',
  'peers_held',
  'peers_reset',
  'machines_hang',
  'machines_unheard',
  'machines_hear_nothing',
  'answers_late',
  'machine_back_at_once',
  'machine_taken',
] as const;
/** Each of these is longer than a lease and a limit; a run has room for one of them. */
const LONG_KINDS = [
  'state_refuses_leader_then_all',
  'state_out_in_short_breaks',
  'machines_cut_at_takeovers',
] as const;
/** What goes wrong. */
export type FaultKind = (typeof SHORT_KINDS)[number] | (typeof LONG_KINDS)[number];

/** How often leaders are ended in a series, and how far apart. */
export const LEADER_KILLS = { count: 4, every: 3500 } as const;
/** Rounds in which machines hear one answer of the next leader, just within their lease. */
export const TAKEOVER_ROUNDS = {
  count: 3,
  away: TIMES.lease - 3500,
  every: TIMES.lease - 1000,
} as const;

/** One fault; the node counts where it strikes one, and the leader of that moment elsewhere. */
export interface PlannedFault {
  kind: FaultKind;
  /** Since the faults began. */
  at: Duration;
  lasts: Duration;
  node: NodeName;
  /** Chooses machines. */
  dice: number;
  /** Jobs that users call off as it strikes. */
  cancels: number;
}

/** Longer than a cancellation may take. */
const LONG_FAULT_MS: Duration = Math.max(
  TIMES.cancellationLimit + 2500,
  TAKEOVER_ROUNDS.count * TAKEOVER_ROUNDS.every,
);
const GAP_RANGE_MS: [least: Duration, most: Duration] = [1000, 5000];
const DURATION_RANGE_MS: [least: Duration, most: Duration] = [800, 11_000];
const CANCELLATION_LIMIT = 5;
/** What a long fault must not keep alive. */
const LONG_FAULT_CANCELLATION_COUNT = 8;
/** Faults that begin within a time; two or three overlap, and one of them is long. */
export function planFaults(random: Random, within: Duration): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const long = pick(random, LONG_KINDS);
  const longAt = between(random, 0, within / 2);
  for (
    let at = between(random, 0, GAP_RANGE_MS[0]);
    at < within;
    at += between(random, ...GAP_RANGE_MS)
  ) {
    plan.push(
      plannedFault(random, pick(random, SHORT_KINDS), at, between(random, ...DURATION_RANGE_MS)),
    );
  }
  plan.push({
    ...plannedFault(random, long, longAt, LONG_FAULT_MS),
    cancels: LONG_FAULT_CANCELLATION_COUNT,
  });
  return plan.sort((a, b) => a.at - b.at);
}

function plannedFault(
  random: Random,
  kind: FaultKind,
  at: Duration,
  lasts: Duration,
): PlannedFault {
  const cancels = Math.floor(random() * CANCELLATION_LIMIT);
  const least = kind === 'leaders_in_series' ? LEADER_KILLS.count * LEADER_KILLS.every : 0;
  return {
    kind,
    at,
    lasts: Math.max(lasts, least),
    node: pick(random, NODES),
    dice: random(),
    cancels,
  };
}
