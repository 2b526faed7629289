import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runRandomFaults } from './random-faults.js';

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);

for (const seed of SEEDS) {
  test(`random faults, seed ${seed}: every rule holds and every job ends`, () => {
    const { cluster, unfinishedJobs } = runRandomFaults({ seed });
    assert.deepEqual(cluster.checker.violations, []);
    assert.deepEqual(unfinishedJobs, []);
    assert.ok(cluster.checker.startCount > 0);
    assert.deepEqual(cluster.checker.unserved(), []);
  });
}

test('the checker detects that controllers with too short a worker lease run tasks twice', () => {
  const violations = SEEDS.flatMap(
    (seed) => runRandomFaults({ seed, configuredWorkerLease: 1000 }).cluster.checker.violations,
  );
  assert.ok(violations.some((v) => v.startsWith('ran_twice')));
});
