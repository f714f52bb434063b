/**
 * Quotas of client accounts across the leaders of all services.
 * @module
 */
export {}
