import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playRandomFaults } from './random-faults.js';

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);

for (const seed of SEEDS) {
  test(`random faults, seed ${seed}: every rule holds and every job ends`, () => {
    const { cluster, open } = playRandomFaults({ seed });
    assert.deepEqual(cluster.checker.violations, []);
    assert.deepEqual(open, []);
    assert.ok(cluster.checker.startCount > 0);
    assert.deepEqual(cluster.checker.unserved(), []);
  });
}

test('the checker sees a broken guard: a lease believed too short runs tasks twice', () => {
  const broken = SEEDS.flatMap(
    (seed) => playRandomFaults({ seed, believedLease: 1000 }).cluster.checker.violations,
  );
  assert.ok(broken.some((b) => b.startsWith('ran_twice')));
});
