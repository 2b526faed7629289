/** Plans which faults a soak run injects and when, from the seed of the run. */
import type { Random } from '@tealdock/controller';
import type { Duration } from '@tealdock/wire';
import { between, pick } from '../simulation/seeded-random.js';
import { NODES, SOAK_TIMES, type NodeName } from './site-times.js';

/** `fault-injector.ts` has an injector for each kind. */
const SHORT_KINDS = [
  'kill',
  'quick_leader_restart',
  'leader_kill_series',
  'kill_all',
  'pause',
  'pause_leader',
  'state_outage',
  'state_calls_dropped',
  'state_watches_dropped',
  'state_slow',
  'state_responses_lost',
  'state_commits_delayed',
  'peer_links_stalled',
  'peer_links_reset',
  'machines_hang',
  'machine_heartbeats_lost',
  'machine_inbound_blocked',
  'heartbeat_responses_delayed',
  'machine_quick_reboot',
  'machine_replaced',
] as const;
/** Faults that outlast a worker's lease and the cancellation limit; each run injects one. */
const LONG_KINDS = [
  'state_refuses_leader_then_all',
  'state_repeated_outages',
  'machines_isolated_at_takeovers',
] as const;
/** The kind of a fault. */
export type FaultKind = (typeof SHORT_KINDS)[number] | (typeof LONG_KINDS)[number];

/** Number and interval of the kills of `leader_kill_series`. */
export const LEADER_KILLS = { count: 4, intervalMs: 3500 } as const;
/**
 * Rounds of `machines_isolated_at_takeovers`. In each, the leader is killed and the machines are
 * isolated, until one response of the next leader renews their leases shortly before they expire.
 */
export const TAKEOVER_ROUNDS = {
  count: 3,
  isolatedMs: SOAK_TIMES.lease - 3500,
  intervalMs: SOAK_TIMES.lease - 1000,
} as const;

/** One fault to inject. */
export interface PlannedFault {
  kind: FaultKind;
  /** Since the start of the fault period. */
  at: Duration;
  lasts: Duration;
  /** The affected controller; faults of the leader use it only while there is no leader. */
  node: NodeName;
  /** Uniform in [0, 1): selects the affected machines, or a variant of the fault. */
  dice: number;
  /** Up to how many running jobs users cancel when the fault begins. */
  cancels: number;
}

/** Duration of a long fault: exceeds the cancellation limit, and covers all takeover rounds. */
const LONG_FAULT_MS: Duration = Math.max(
  SOAK_TIMES.cancellationLimit + 2500,
  TAKEOVER_ROUNDS.count * TAKEOVER_ROUNDS.intervalMs,
);
/** Time between the starts of consecutive short faults. */
const START_INTERVAL_RANGE_MS: [least: Duration, most: Duration] = [1000, 5000];
const DURATION_RANGE_MS: [least: Duration, most: Duration] = [800, 11_000];
/** Exclusive upper bound of the cancellations that come with a short fault. */
const CANCELLATION_COUNT_BOUND = 5;
/** Jobs cancelled as a long fault begins; it must not keep their tasks running past the limit. */
const LONG_FAULT_CANCELLATION_COUNT = 8;

/** Plans faults that start within `period`: two or three overlap, and one of them is long. */
export function planFaults(random: Random, period: Duration): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const long = pick(random, LONG_KINDS);
  const longAt = between(random, 0, period / 2);
  for (
    let at = between(random, 0, START_INTERVAL_RANGE_MS[0]);
    at < period;
    at += between(random, ...START_INTERVAL_RANGE_MS)
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
  const cancels = Math.floor(random() * CANCELLATION_COUNT_BOUND);
  const minDuration =
    kind === 'leader_kill_series' ? LEADER_KILLS.count * LEADER_KILLS.intervalMs : 0;
  return {
    kind,
    at,
    lasts: Math.max(lasts, minDuration),
    node: pick(random, NODES),
    dice: random(),
    cancels,
  };
}
