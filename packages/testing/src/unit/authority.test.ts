import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packBody, parseOperatorSettings } from '@tealdock/wire';
import {
  Authority,
  Runtime,
  Stats,
  type Decision,
  type StartTarget,
  type TermKnowledge,
} from '@tealdock/controller';
import { job } from '../index.js';
import { settingsFor } from '../simulation/cluster-options.js';
import { A, cancelled, settled, violations } from '../scenarios/steps.js';

const NOW = 100_000;
const READY: StartTarget = { isRegistered: true, isReconciled: true, isReturning: false };

interface Given {
  knowledge?: Partial<TermKnowledge>;
  /** How long the leader's lease still holds; null where it is in doubt. */
  lease?: number | null;
}

function authority({ knowledge = {}, lease = 3000 }: Given = {}): Authority {
  const runtime = new Runtime({
    settings: settingsFor('n-0', 100),
    operator: parseOperatorSettings(''),
    random: () => 0,
    log: () => undefined,
    stats: new Stats(),
  });
  runtime.now = NOW;
  const held = lease === null ? null : { fencingToken: 7, validUntil: NOW + lease };
  const all = {
    stateLoaded: true,
    closed: false,
    cancellationsKnownUntil: NOW,
    observedJobsLoaded: true,
    isLive: () => true,
  };
  return new Authority(runtime, { validLease: () => held }, { ...all, ...knowledge });
}

const reasonOf = (decision: Decision): string => (decision.granted ? 'granted' : decision.reason);

test('an answer that renews a lease needs a lease, the live jobs and fresh knowledge', () => {
  const renewal = (given: Given) => reasonOf(authority(given).renewal());
  assert.equal(renewal({}), 'granted');
  assert.equal(renewal({ lease: null }), 'no_lease');
  assert.equal(renewal({ knowledge: { closed: true } }), 'term_over');
  assert.equal(renewal({ knowledge: { stateLoaded: false } }), 'jobs_not_read');
  assert.equal(renewal({ knowledge: { cancellationsKnownUntil: NOW - 6000 } }), 'granted');
  assert.equal(renewal({ knowledge: { cancellationsKnownUntil: NOW - 6001 } }), 'knowledge_stale');
  assert.equal(renewal({ knowledge: { cancellationsKnownUntil: -Infinity } }), 'knowledge_stale');
});

test('a right to answer ends with the lease or with the knowledge, whichever is first', () => {
  const until = (given: Given) => {
    const decision = authority(given).renewal();
    return decision.granted ? decision.validUntil : null;
  };
  assert.equal(until({ lease: 1000 }), NOW + 1000);
  assert.equal(
    until({ lease: 9000, knowledge: { cancellationsKnownUntil: NOW - 2000 } }),
    NOW + 4000,
  );
});

test('a start needs fresher knowledge, and a machine that is accounted for', () => {
  const start = (knowledge: Partial<TermKnowledge>, machine: Partial<StartTarget> = {}) =>
    reasonOf(authority({ knowledge }).start({ ...READY, ...machine }));
  assert.equal(start({}), 'granted');
  assert.equal(start({ cancellationsKnownUntil: NOW - 2000 }), 'granted');
  assert.equal(start({ cancellationsKnownUntil: NOW - 2001 }), 'knowledge_stale');
  assert.equal(start({ observedJobsLoaded: false }), 'sizes_unknown');
  assert.equal(start({}, { isRegistered: false }), 'machine_not_registered');
  assert.equal(start({}, { isReconciled: false }), 'machine_unaccounted');
  assert.equal(start({}, { isReturning: true }), 'machine_returning');
});

test('a refusal for stale knowledge names its age and limit', () => {
  const decision = authority({ knowledge: { cancellationsKnownUntil: NOW - 7000 } }).renewal();
  assert.deepEqual(decision.evidence, { source: 'job watch', age: 7000, limit: 6000 });
});

test('only a term that has read the live jobs may stop what is not among them', () => {
  const isLive = (id: string) => id === A;
  assert.equal(authority({ knowledge: { isLive } }).mayStop(A), false);
  assert.equal(authority({ knowledge: { isLive } }).mayStop('run-000002'), true);
  assert.equal(
    authority({ knowledge: { isLive, stateLoaded: false } }).mayStop('run-000002'),
    false,
  );
});

// A worker that goes on with a task which it was told to stop must show in the log and counters.
test('a task that outlasts the limit of its cancellation is a violation, reported once', () => {
  const cluster = settled({}, 1);
  cluster.submit(job(1, { batch: 1, cpus: 4, expected_s: 300 }), 'n-0');
  cluster.run(2000);
  cancelled(cluster, 1, 'n-0');
  const leader = cluster.leader()!;
  const { machine, fencingToken: fence } = [...cluster.workers.values()][0]!;
  const place = { host: 'm-000099', addr: 'x:1', flavour: machine.type, hall: 'a', spare: false };
  const task = { piece: `${A}/0`, try_no: 9, status: 'running' };
  const report = (tally: number) =>
    packBody({ ...place, shift: 1, tally, fence, warning_s: null, batch: [task] });
  const limit = cluster.now() + cluster.times.cancellationLimit;
  for (let tally = 1; cluster.now() < limit + 10_000; tally++) {
    cluster.request(leader, 'POST', '/hello', report(tally));
    if (cluster.now() < limit - 5000) assert.deepEqual(violations(cluster), []);
    cluster.run(2000);
  }
  const [violation, ...more] = violations(cluster) as { invariant: string; job: string }[];
  assert.equal(violation?.invariant, 'ran_past_cancel_limit');
  assert.equal(violation.job, A);
  assert.deepEqual(more, []);
});
