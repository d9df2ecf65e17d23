/**
 * At-most-once execution of non-idempotent requests. Each configured witness zone has one
 * witness seat, a voter held by one instance of that zone. A request may run once a
 * majority of the seats has granted its idempotency key to the request's claim.
 */
package io.mulberrylift.core.witness;
