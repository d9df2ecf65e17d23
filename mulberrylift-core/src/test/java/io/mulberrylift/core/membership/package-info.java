/**
 * Tests of membership.
 */
package io.mulberrylift.core.membership;
