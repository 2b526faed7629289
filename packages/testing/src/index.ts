/** Fakes of the external services and workers, a simulated cluster, and a checker of its rules. */
export * from './simulation/simulated-cluster.js';
export * from './simulation/cluster-options.js';
export * from './simulation/small-job.js';
export * from './fakes/fake-state.js';
export * from './fakes/fake-cloud.js';
export * from './fakes/fake-worker.js';
export * from './fakes/worker-protocol.js';
export * from './checker/rule-checker.js';
export * from './checker/free-capacity.js';
export * from './fakes/fake-sockets.js';
