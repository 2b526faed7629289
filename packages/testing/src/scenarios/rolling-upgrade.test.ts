import assert from 'node:assert/strict';
import { SimulatedCluster, job, type DeploymentTimes } from '../index.js';
import { testOnEachDeployment } from './deployments.js';
import { assertRecovery, jobId, submitWithRetries, runningTaskCount } from './steps.js';

// Rolling upgrades, with older and current versions side by side, combined with other faults and
// run with the times of both deployments.
const SEEDS = [1, 2, 3];
/** Time from the end of a process to the start of the one that replaces it. */
const DOWNTIME_MS = 6000;
/** Time between the ends of two processes that are replaced one after another. */
const REPLACEMENT_INTERVAL_MS = 10_000;
/** Numbers of the jobs with predecessors, which are submitted after the upgrade. */
const FIRST_CHAIN_JOB_NUMBER = 101;
const LAST_CHAIN_JOB_NUMBER = 112;

interface RollingUpgrade {
  cluster: SimulatedCluster;
  /** Nodes in the order in which they are replaced. */
  order: string[];
  /** The node that leads when the upgrade begins. */
  leader: string;
}

/** A cluster of the older version under load, with free capacity. */
function olderVersionCluster(times: DeploymentTimes, seed: number): SimulatedCluster {
  const cluster = new SimulatedCluster({
    seed,
    times,
    capacity: 16,
    cpuLimit: 200,
    maxValueBytes: 16_384,
    maxTransactionWrites: 12,
    announcedLimits: { maxValueBytes: 2048, maxTransactionWrites: 4 },
  });
  for (const n of cluster.nodeNames) {
    cluster.crash(n);
    cluster.processes.bootOlderVersion(n);
  }
  for (let i = 0; i < 8; i++) cluster.cloud.addMachine(i % 2 ? 'a' : 'b');
  cluster.run(8000);
  for (let n = 1; n <= 6; n++) {
    cluster.submit(job(n, { batch: 4, expected_s: n % 2 ? 60 : 15 }), cluster.nodeNames[n % 3]!);
  }
  cluster.run(6000);
  assert.ok(runningTaskCount(cluster) > 0);
  return cluster;
}

/** Ends the processes one after another and starts each again as the current version. */
function replaceProcesses(
  { cluster, order }: RollingUpgrade,
  downtime = DOWNTIME_MS,
  interval = REPLACEMENT_INTERVAL_MS,
): void {
  for (const [i, name] of order.entries()) {
    cluster.at(i * interval, () => cluster.crash(name));
    cluster.at(i * interval + downtime, () => cluster.boot(name));
  }
}

/** Submits three chains of four jobs, for which all nodes must have the current version. */
function submitChains(cluster: SimulatedCluster): void {
  for (let n = FIRST_CHAIN_JOB_NUMBER; n <= LAST_CHAIN_JOB_NUMBER; n++) {
    const waits = n % 4 === 1 ? [] : [jobId(n - 1)];
    const overrides = { batch: 2, expected_s: 5, waits_on: waits };
    const submitWhenReady = () => {
      if (waits.every((id) => cluster.checker.isAccepted(id)))
        submitWithRetries(cluster, n, overrides);
      else cluster.at(1000, submitWhenReady);
    };
    cluster.at((n - FIRST_CHAIN_JOB_NUMBER) * 700, submitWhenReady);
  }
}

/** Numbers of the jobs submitted before and after the upgrade. */
function allJobs(): number[] {
  const jobs = [1, 2, 3, 4, 5, 6];
  for (let n = FIRST_CHAIN_JOB_NUMBER; n <= LAST_CHAIN_JOB_NUMBER; n++) jobs.push(n);
  return jobs;
}

interface UpgradeFault {
  name: string;
  /** Plans the faults; called when the upgrade begins. */
  injectFaults: (upgrade: RollingUpgrade) => void;
  order?: (leader: string, others: string[]) => string[];
  downtime?: number;
}

const defaultOrder = (leader: string, [b, c]: string[]): string[] => [b!, leader, c!];

const cancelOnFollower = (cluster: SimulatedCluster, n: number): void => {
  const node = [...cluster.processes.running.keys()].find((name) => name !== cluster.leader());
  if (node !== undefined) cluster.cancel(jobId(n), node);
};

const UPGRADE_FAULTS: UpgradeFault[] = [
  {
    name: 'the state service refuses the leader alone, then is down for longer than cancel_s',
    injectFaults: ({ cluster, leader }) => {
      cluster.state.refusedNodes.add(leader);
      cluster.at(1000, () => cancelOnFollower(cluster, 1));
      cluster.at(2000, () => (cluster.state.down = true));
      cluster.at(14_000, () => cluster.state.refusedNodes.clear());
      cluster.at(cluster.times.cancellationLimit + 12_000, () => cluster.state.restore());
    },
  },
  {
    name: 'the state service refuses each leader in turn',
    injectFaults: ({ cluster }) => {
      for (let i = 0; i < 5; i++) {
        cluster.at(i * 7000, () => {
          cluster.state.refusedNodes.clear();
          const leader = cluster.leader();
          if (leader) cluster.state.refusedNodes.add(leader);
          cancelOnFollower(cluster, i + 1);
        });
      }
      cluster.at(35_000, () => cluster.state.refusedNodes.clear());
    },
  },
  {
    name: 'transactions get no answer and execute late',
    injectFaults: ({ cluster }) => {
      cluster.stateLink.fault = (_node, call) =>
        call.path === '/commit' && cluster.random() < 0.4
          ? 2000 + cluster.random() * 10_000
          : undefined;
      cluster.at(9000, () => cancelOnFollower(cluster, 1));
      cluster.at(35_000, () => (cluster.stateLink.fault = null));
    },
  },
  {
    name: 'transactions execute at once, but their answers are lost',
    injectFaults: ({ cluster }) => {
      cluster.stateLink.fault = (_node, call) =>
        call.path === '/commit' && cluster.random() < 0.4 ? 'lost_after' : undefined;
      cluster.at(9000, () => cancelOnFollower(cluster, 1));
      cluster.at(35_000, () => (cluster.stateLink.fault = null));
    },
  },
  {
    name: 'the limits are lowered at the moment at which a process starts again',
    injectFaults: ({ cluster }) => cluster.at(DOWNTIME_MS, () => cluster.lowerStateLimits()),
  },
  {
    name: 'the leader is replaced last',
    order: (leader, others) => [...others, leader],
    injectFaults: ({ cluster }) =>
      cluster.at(3 * REPLACEMENT_INTERVAL_MS, () => cluster.lowerStateLimits()),
  },
  {
    name: 'the leader is replaced first',
    order: (leader, others) => [leader, ...others],
    injectFaults: ({ cluster }) =>
      cluster.at(DOWNTIME_MS + 400, () => cancelOnFollower(cluster, 1)),
  },
  {
    name: 'the leader is replaced first, and once more at the end',
    order: (leader, others) => [leader, ...others, leader],
    injectFaults: ({ cluster }) => cluster.at(DOWNTIME_MS + 400, () => cluster.lowerStateLimits()),
  },
  {
    name: 'the leader crashes before its replacement and starts again as the older version',
    order: (leader, others) => [...others, leader],
    injectFaults: ({ cluster, leader }) => {
      for (const [i, pause] of [300, 900, 6000].entries()) {
        cluster.at(2000 + i * 7500, () => {
          cluster.crash(leader);
          cluster.at(
            pause,
            () =>
              cluster.processes.running.has(leader) || cluster.processes.bootOlderVersion(leader),
          );
        });
      }
    },
  },
  {
    name: 'replaced processes start again within a fraction of a second',
    downtime: 300,
    injectFaults: ({ cluster }) => cluster.at(400, () => cancelOnFollower(cluster, 1)),
  },
  {
    name: 'each process is rolled back to the older version once during the upgrade',
    injectFaults: ({ cluster, order }) => {
      for (let i = 0; i < 3; i++) {
        const name = order[i]!;
        cluster.at(i * REPLACEMENT_INTERVAL_MS + DOWNTIME_MS + 1500, () => {
          cluster.crash(name);
          cluster.at(400, () => cluster.processes.bootOlderVersion(name));
        });
        // It is upgraded for good later.
        cluster.at(3 * REPLACEMENT_INTERVAL_MS + i * 2000, () => {
          cluster.crash(name);
          cluster.at(400, () => cluster.boot(name));
        });
      }
    },
  },
];

for (const { name, injectFaults, order = defaultOrder, downtime } of UPGRADE_FAULTS) {
  testOnEachDeployment(`the cluster recovers from a rolling upgrade in which ${name}`, (times) => {
    for (const seed of SEEDS) {
      const cluster = olderVersionCluster(times, seed);
      const leader = cluster.leader()!;
      const followers = cluster.nodeNames.filter((n) => n !== leader);
      const upgrade = { cluster, leader, order: order(leader, followers) };
      replaceProcesses(upgrade, downtime);
      injectFaults(upgrade);
      cluster.run(4 * REPLACEMENT_INTERVAL_MS + DOWNTIME_MS);
      cluster.lowerStateLimits();
      submitChains(cluster);
      // Cancels the first job of the second chain, so that its dependents end too.
      cluster.at(4000, () => cancelOnFollower(cluster, FIRST_CHAIN_JOB_NUMBER + 4));
      cluster.run(20_000);
      assertRecovery(cluster, allJobs());
      assert.equal(
        cluster.stateLink.oversizedCount,
        0,
        'transactions larger than the announced limits',
      );
    }
  });
}
