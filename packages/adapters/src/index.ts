/** Adapters that connect the state owner to the network, the clock and the log. */
export * from './http-client.js';
export * from './log.js';
export * from './service.js';
export * from './token-bucket.js';
export * from './listen.js';
export * from './memory-budget.js';
export * from './body-limits.js';
export * from './receive-body.js';
export * from './connections.js';
export * from './resource-usage.js';
export * from './call-rate-limiter.js';
export * from './command-queue.js';
